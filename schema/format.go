package schema

import (
	"errors"
	"net/netip"
	"net/url"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// customFormats are the values of "format" in our schemas that JSON Schema does not define.
var customFormats = []*jsonschema.Format{
	{Name: "ip-port", Validate: checkIPPort},
	{Name: "http-url", Validate: checkHTTPURL},
}

func checkIPPort(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil // reported by the check of the type
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.New("no IP address with a port")
	}
	if a.Port() == 0 {
		return errors.New("port 0 cannot be reached")
	}
	return nil
}

func checkHTTPURL(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return errors.New("no base URL of http or https")
	}
	return nil
}

package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// nodeTimeout bounds a request to a node's debug server or a stand-in's switches.
const nodeTimeout = 10 * time.Second

// side is one side of a cut: the processes in it and the addresses of all that lies in it.
type side struct {
	procs     []string
	addresses []string
}

// side returns what a word of cut names: an availability zone, platform, a node or a target.
func (c *cluster) side(name string) (side, error) {
	var s side
	pl := c.plan.Platform
	if name == "platform" {
		return side{addresses: []string{pl.LogAddress, pl.StoreAddress, pl.VMListAddress}}, nil
	}
	for i, g := range c.plan.Gates {
		in := g.AvailabilityZone == name || name == fmt.Sprintf("vm%d", i+1)
		if in || name == fmt.Sprintf("gate%d", i+1) {
			s.procs = append(s.procs, "gate-"+g.ID)
			s.addresses = append(s.addresses, g.GateAddress, g.GateHTTP)
		}
		if in || name == fmt.Sprintf("steward%d", i+1) {
			s.procs = append(s.procs, "steward-"+g.ID)
			s.addresses = append(s.addresses, g.StewardAddress)
		}
	}
	for i, e := range c.plan.Endpoints.Engines {
		if e.AvailabilityZone == name || name == fmt.Sprintf("engine%d", i+1) {
			s.addresses = append(s.addresses, e.Address)
		}
	}
	for i, e := range c.plan.Endpoints.Services {
		if e.AvailabilityZone == name || name == fmt.Sprintf("service%d", i+1) {
			s.addresses = append(s.addresses, e.Address)
		}
	}
	if len(s.addresses) == 0 {
		return s, fmt.Errorf("nothing is called %q; use a zone, platform, vm1, gate1, steward1, engine1 or service1", name)
	}
	return s, nil
}

// cmdCut cuts the network between the first word and each other one: cut A B [C...].
func (c *cluster) cmdCut(w words) error {
	names := w.bares()
	if len(names) < 2 {
		return fmt.Errorf("cut needs two sides")
	}
	a, err := c.side(names[0])
	if err != nil {
		return err
	}
	for _, name := range names[1:] {
		b, err := c.side(name)
		if err != nil {
			return err
		}
		if err := c.block(a.procs, b.addresses); err != nil {
			return err
		}
		if !w.has("one-way") {
			if err := c.block(b.procs, a.addresses); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) block(procs, addresses []string) error {
	for _, p := range procs {
		if c.blocked[p] == nil {
			c.blocked[p] = map[string]bool{}
		}
		for _, a := range addresses {
			c.blocked[p][a] = true
		}
		if err := c.sendBlocked(p); err != nil {
			return err
		}
	}
	return nil
}

// cmdHeal ends all cuts.
func (c *cluster) cmdHeal(words) error {
	for p := range c.blocked {
		c.blocked[p] = map[string]bool{}
		if err := c.sendBlocked(p); err != nil {
			return err
		}
	}
	return nil
}

// sendBlocked tells a process which addresses it may not dial; one that does not run learns it at its start.
func (c *cluster) sendBlocked(name string) error {
	if !c.procs[name].running() {
		return nil
	}
	list := []string{}
	for a := range c.blocked[name] {
		list = append(list, a)
	}
	slices.Sort(list)
	return c.postJSON(c.debugURL(name)+"/debug/unreachable", list)
}

func (c *cluster) debugURL(name string) string {
	for i, g := range c.plan.Gates {
		if name == "gate-"+g.ID {
			return "http://" + g.DebugAddress
		}
		if s := c.plan.Stewards[i]; name == "steward-"+s.ID {
			return "http://" + s.DebugAddress
		}
	}
	return ""
}

func (c *cluster) postJSON(url string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = c.request(http.MethodPost, url, raw)
	return err
}

// request sends one request and returns the body of a good answer.
func (c *cluster) request(method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: c.http.Transport, Timeout: nodeTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, bytes.TrimSpace(raw))
	}
	return raw, err
}

func (c *cluster) getJSON(url string, v any) error {
	raw, err := c.request(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

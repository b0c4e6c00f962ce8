package errata

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// DutyCall is a call to the platform's API for duties, as it arrived.
type DutyCall struct {
	// Path is /usage or /scale.
	Path, Holder string
	Token        int64
	Body         map[string]any
	At           time.Time
	Status       int
}

// Cloud is the platform's API for duties. The fault switches among its fields may be set while it runs, under Lock.
type Cloud struct {
	sync.Mutex
	// Down answers each call with status 503, TooMany with 429, Hang holds each call until the client cancels it.
	Down, TooMany, Hang bool
	// LoseAnswers is how many of the next calls are accepted without an answer.
	LoseAnswers int
	// NoneIn holds the zones in which no targets are to be had.
	NoneIn []string

	server *httptest.Server
	calls  []DutyCall
}

// NewCloud starts an API on loopback.
func NewCloud() *Cloud {
	c := &Cloud{}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	return c
}

// Address returns the address at which the API is served.
func (c *Cloud) Address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Close ends the API.
func (c *Cloud) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
}

// Set changes the fault switches.
func (c *Cloud) Set(change func(c *Cloud)) {
	c.Lock()
	defer c.Unlock()
	change(c)
}

// Calls returns the calls with the path that have arrived, also those that were not answered.
func (c *Cloud) Calls(path string) []DutyCall {
	c.Lock()
	defer c.Unlock()
	return slices.DeleteFunc(slices.Clone(c.calls), func(call DutyCall) bool { return call.Path != path })
}

func (c *Cloud) serve(w http.ResponseWriter, req *http.Request) {
	call := DutyCall{Path: req.URL.Path, Holder: req.Header.Get("Duty-Holder"), At: time.Now(), Status: http.StatusOK}
	token, err := strconv.ParseInt(req.Header.Get("Fencing-Token"), 10, 64)
	if err == nil {
		err = json.NewDecoder(req.Body).Decode(&call.Body)
	}
	call.Token = token
	c.Lock()
	zone, _ := call.Body["Zone"].(string)
	hang, lose := c.Hang, false
	switch {
	case err != nil || call.Holder == "":
		call.Status = http.StatusBadRequest
	case c.Down:
		call.Status = http.StatusServiceUnavailable
	case c.TooMany:
		call.Status = http.StatusTooManyRequests
	case slices.Contains(c.NoneIn, zone):
		call.Status = http.StatusConflict
	case c.LoseAnswers > 0:
		c.LoseAnswers--
		lose = true
	}
	c.calls = append(c.calls, call)
	c.Unlock()
	if hang || lose {
		<-req.Context().Done()
		return
	}
	w.WriteHeader(call.Status)
}

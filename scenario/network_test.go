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

// nodeTimeout is the time limit of a request to a node's debug server or to the admin interface of a fake.
const nodeTimeout = 10 * time.Second

// cutSide is one side of a network cut: its processes, and the addresses that are unreachable from the other side.
type cutSide struct {
	procs     []string
	addresses []string
}

// resolveSide returns the side that an argument of cut names: an availability zone, platform, a VM, a node or a target.
func (c *cluster) resolveSide(name string) (cutSide, error) {
	var s cutSide
	platform := c.plan.Platform
	if name == "platform" {
		return cutSide{addresses: []string{platform.LogAddress, platform.StoreAddress, platform.VMListAddress}}, nil
	}
	for i, g := range c.plan.Gates {
		inZone := g.AvailabilityZone == name || name == fmt.Sprintf("vm%d", i+1)
		if inZone || name == fmt.Sprintf("gate%d", i+1) {
			s.procs = append(s.procs, "gate-"+g.ID)
			s.addresses = append(s.addresses, g.GateAddress, g.GateHTTP)
		}
		if inZone || name == fmt.Sprintf("steward%d", i+1) {
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
		return s, fmt.Errorf("no side is named %q; use a zone, platform, vm1, gate1, steward1, engine1 or service1", name)
	}
	return s, nil
}

// cmdCut cuts the network between the first side and each other one: cut A B [C...] [one-way]; with one-way,
// only connections from A are blocked.
func (c *cluster) cmdCut(args cmdArgs) error {
	names := args.positionals()
	if len(names) < 2 {
		return fmt.Errorf("cut needs at least two sides: cut A B [C...]")
	}
	a, err := c.resolveSide(names[0])
	if err != nil {
		return err
	}
	for _, name := range names[1:] {
		b, err := c.resolveSide(name)
		if err != nil {
			return err
		}
		if err := c.blockAddresses(a.procs, b.addresses); err != nil {
			return err
		}
		if !args.hasFlag("one-way") {
			if err := c.blockAddresses(b.procs, a.addresses); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) blockAddresses(procs, addresses []string) error {
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

// cmdHeal removes all network cuts.
func (c *cluster) cmdHeal(cmdArgs) error {
	for p := range c.blocked {
		c.blocked[p] = map[string]bool{}
		if err := c.sendBlocked(p); err != nil {
			return err
		}
	}
	return nil
}

// sendBlocked sets the addresses that a process may not dial; cmdStart calls it again for a process that is not running.
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

// request sends one request and returns the body; a status of 400 or more is an error.
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

package config

import (
	"net/netip"
	"strconv"
)

func (v *validation) checkPools() {
	addresses := map[netip.AddrPort]string{}
	for i := range v.tables.Pools {
		p := &v.tables.Pools[i]
		if v.poolsByName[p.Name] != nil {
			v.add(rowPath("pools", i, "name"), "give each pool its own name", "pool %q stands twice", p.Name)
		}
		v.poolsByName[p.Name] = p
		v.checkTargets(i, p, addresses)
		if p.Kind == PoolEngines {
			v.checkEngines(i, p)
		} else {
			v.checkServices(i, p)
		}
	}
}

func (v *validation) checkTargets(i int, p *Pool, addresses map[netip.AddrPort]string) {
	names := make(map[string]bool, len(p.Targets))
	for j := range p.Targets {
		t := &p.Targets[j]
		fieldPath := func(field string) string { return rowPath("pools", i, "targets", strconv.Itoa(j), field) }
		if names[t.Name] {
			v.add(fieldPath("name"), "give each target of a pool its own name", "target %q stands twice in pool %q", t.Name, p.Name)
		}
		names[t.Name] = true
		a, err := netip.ParseAddrPort(t.Address)
		if err != nil {
			continue // rejected by the schema
		}
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		if other, ok := addresses[a]; ok {
			v.add(fieldPath("address"), "give each target its own address and list it in one pool", "address %s belongs to target %s already", t.Address, other)
			continue
		}
		addresses[a] = p.Name + "/" + t.Name
	}
}

func (v *validation) checkEngines(i int, p *Pool) {
	if p.Model == "" {
		v.add(rowPath("pools", i), "add the model that the engines run", "pool %q of engines has no model", p.Name)
	}
	adapters := make(map[string]bool, len(p.Adapters))
	for j, a := range p.Adapters {
		if adapters[a] || a == p.Model {
			v.add(rowPath("pools", i, "adapters", strconv.Itoa(j)), "name each adapter once, and not as the model", "adapter %q stands twice in pool %q", a, p.Name)
		}
		adapters[a] = true
	}
	if w := p.Weights; w != nil && w.Follow && w.Version != 0 {
		v.add(rowPath("pools", i, "weights", "version"), "set follow to false to pin the version, or leave the version out", "pool %q both follows new versions and is pinned to %d", p.Name, w.Version)
	}
}

func (v *validation) checkServices(i int, p *Pool) {
	remedy := "leave it out, or make the pool's kind engines"
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"model", p.Model != ""},
		{"adapters", len(p.Adapters) > 0},
		{"role", p.Role != ""},
		{"weights", p.Weights != nil},
		{"fencing_checked", p.FencingChecked},
	} {
		if f.set {
			v.add(rowPath("pools", i, f.name), remedy, "pool %q of services cannot have %s: services run no model", p.Name, f.name)
		}
	}
}

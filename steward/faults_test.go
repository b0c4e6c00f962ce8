package steward

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// servicePool returns a change that adds a pool of services.
func servicePool(id, name string) config.Change {
	p := config.Pool{Name: name, Kind: config.PoolServices, Targets: []config.Target{{Name: "s", Address: "127.0.0.1:9", AvailabilityZone: "a"}}}
	return config.Change{ID: id, Author: "test", Edits: []config.Edit{{Key: config.PoolKey(name), Pool: &p}}}
}

// mustApply applies a change and fails the test if it is not accepted.
func (c *cluster) mustApply(n *node, change config.Change) {
	c.t.Helper()
	res, err := c.apply(n, change)
	if err != nil || !res.Decision.Accepted {
		c.t.Fatalf("change %s: %+v, %v", change.ID, res.Decision, err)
	}
}

// waitConverged waits until all nodes are ready and see each other alive.
func (c *cluster) waitConverged() {
	c.t.Helper()
	c.eventually("all nodes ready and alive in each other's membership", func() bool {
		for _, n := range c.nodes {
			if n.ready() != nil || len(n.gossip.Alive()) != len(c.nodes) {
				return false
			}
		}
		return true
	})
}

func TestZoneWithoutPlatformReadsChangesFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{})
	a1, a2, b := c.start("a1", "a"), c.start("a2", "a"), c.start("b1", "b")
	c.waitConverged()
	a1.dialer.SetUnreachable(c.platformAddresses())
	a2.dialer.SetUnreachable(c.platformAddresses())
	c.mustApply(b, servicePool("c1", "pantry"))
	c.eventually("the change in the zone without platform access", func() bool { return c.hasPool(a1, "pantry") && c.hasPool(a2, "pantry") })
}

func TestNodeStartsFromPeersWhileThePlatformIsOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	c.mustApply(a, servicePool("c1", "pantry"))
	if err := c.log.SetFaults(logservice.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	late := c.start("b1", "b", a.set.StewardAddress)
	c.eventually("the tables at the node started during the outage", func() bool { return c.hasPool(late, "pantry") })
}

func TestNodeWithoutLogAndPeersIsNotReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	is.NoErr(c.log.SetFaults(logservice.Faults{Outage: true}))
	n := c.start("a1", "a")
	c.eventually("a failed read", func() bool { return n.tails.get(config.Stream).Status().LastError != "" })
	is.True(n.ready() != nil)
	is.True(!c.state(n).Ready)
	_, err := c.apply(n, servicePool("c1", "pantry"))
	is.Equal(rpc.Code(err), int64(wire.CodeNotReady))
	is.NoErr(c.log.SetFaults(logservice.Faults{}))
	c.eventually("ready after the end of the outage", func() bool { return n.ready() == nil })
}

func TestTablesOutliveRetention(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{RetentionMs: 3000})
	a := c.start("a1", "a")
	c.waitConverged()
	c.mustApply(a, servicePool("c1", "pantry"))
	c.eventually("two snapshots", func() bool { return a.tables.lastSnapshot() > 2 })
	c.eventually("the change's record dropped from the log", func() bool { return a.tails.get(config.Stream).Status().First > 1 })
	a.stop()
	delete(c.nodes, "a1")
	b := c.start("b1", "b")
	c.eventually("tables from the snapshot", func() bool { return c.hasPool(b, "pantry") })
}

func TestLostAppendAnswerAppliesOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	is.NoErr(c.log.SetFaults(logservice.Faults{LoseAppendAnswers: 1, Stream: config.Stream}))
	c.mustApply(a, servicePool("c1", "pantry"))
	is.Equal(len(a.tables.history(0)), 1)
}

func TestApplyDuringLogOutageReturnsUnavailable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	is.NoErr(c.log.SetFaults(logservice.Faults{Outage: true}))
	var res wire.ApplyResult
	err := c.calls.Call(t.Context(), a.set.StewardAddress, wire.MethodApply, wire.ApplyParams{
		OperatorParams: wire.OperatorParams{Token: testOperatorToken}, Change: servicePool("c1", "pantry"), TimeoutMs: 200,
	}, &res)
	is.Equal(rpc.Code(err), int64(wire.CodeUnavailable))
	is.NoErr(c.log.SetFaults(logservice.Faults{}))
	c.mustApply(a, servicePool("c1", "pantry")) // retried under the same ID
}

func TestMethodsRejectMissingOrWrongToken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	for method, params := range map[string]any{
		wire.MethodApply: wire.ApplyParams{Change: servicePool("c1", "pantry")}, wire.MethodGet: wire.OperatorParams{Token: "x"},
		wire.MethodHistory: wire.HistoryParams{}, wire.MethodNodes: wire.OperatorParams{}, wire.MethodGossip: wire.GossipParams{},
		wire.MethodClaim: wire.ClaimParams{}, wire.MethodFetch: wire.FetchParams{Stream: config.Stream},
	} {
		err := c.calls.Call(t.Context(), a.set.StewardAddress, method, params, nil)
		is.Equal(rpc.Code(err), int64(wire.CodeUnauthorized)) // unauthenticated connection
	}
}

func TestRelayIsReplacedWhenItStops(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{})
	a1, a2, a3 := c.start("a1", "a"), c.start("a2", "a"), c.start("a3", "a")
	c.waitConverged()
	c.eventually("a2 and a3 read through a1", func() bool {
		return a2.tails.get(config.Stream).Status().Source.Node.ID == "a1" && a3.tails.get(config.Stream).Status().Source.Node.ID == "a1"
	})
	a1.stop()
	delete(c.nodes, "a1")
	c.mustApply(a2, servicePool("c1", "pantry"))
	c.eventually("the change at a3", func() bool { return c.hasPool(a3, "pantry") })
	c.eventually("a3 reads through a2", func() bool { return a3.tails.get(config.Stream).Status().Source.Node.ID == "a2" })
}

func TestNodesReturnsRevisionOfEachNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	b := c.start("b1", "b")
	c.waitConverged()
	c.mustApply(a, servicePool("c1", "pantry"))
	c.eventually("the change at b", func() bool { return c.hasPool(b, "pantry") })
	res, err := a.nodes(t.Context(), wire.OperatorParams{Token: testOperatorToken})
	is.NoErr(err)
	is.Equal(len(res.Members), 2)
	for _, m := range res.Members {
		is.Equal(m.Revision, res.Latest)
	}
}

func TestOneKeyHasOneHolderThroughAllStewards(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	for _, id := range []string{"a1", "a2", "a3", "b1"} {
		c.start(id, id[:1])
	}
	c.waitConverged()
	c.eventually("followers of the claims stream ready", func() bool {
		return c.nodes["a1"].claims.status().Ready && c.nodes["a2"].claims.status().Ready && c.nodes["b1"].claims.status().Ready
	})
	is.True(!c.nodes["a3"].claims.status().Following)
	var wg sync.WaitGroup
	results := make([]wire.ClaimResult, 12)
	errs := make([]error, len(results))
	for i := range results {
		n := c.nodes[[]string{"a1", "a2", "a3", "b1"}[i%4]]
		wg.Go(func() { results[i], errs[i] = c.claim(n, 7, fmt.Sprintf("claim-%d", i)) })
	}
	wg.Wait()
	for i := range results {
		is.NoErr(errs[i])
		is.Equal(results[i].ClaimID, results[0].ClaimID)
	}
	is.NoErr(c.log.SetFaults(logservice.Faults{Outage: true}))
	held, err := c.claim(c.nodes["a3"], 7, "late")
	is.NoErr(err) // decided claims are still answered
	is.Equal(held.ClaimID, results[0].ClaimID)
	began := time.Now()
	_, err = c.claim(c.nodes["a3"], 8, "new")
	is.Equal(rpc.Code(err), int64(wire.CodeUnavailable))
	is.True(rpc.RetryAfter(err) > 0)
	is.True(time.Since(began) < waitTimeout/2) // failed before its deadline
}

func TestClaimWithALostAnswerIsDecidedAtReadBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	c.eventually("claim service ready", func() bool { return a.claims.status().Ready })
	is.NoErr(c.log.SetFaults(logservice.Faults{LoseAppendAnswers: 1, Stream: "claims"}))
	res, err := c.claim(a, 1, "c1")
	is.NoErr(err)
	is.Equal(res.ClaimID, "c1")
}

func TestWeightOrdersContinueAfterHolderStops(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{})
	for _, id := range []string{"a1", "a2"} {
		c.start(id, "a")
	}
	c.waitConverged()
	engines, targets := c.engines(2, "a", engine.Options{Model: "m", Version: 1, FencingChecked: true})
	c.mustApply(c.nodes["a1"], poolChange("c1", targets))
	holder := ""
	c.eventually("a lease holder", func() bool {
		for id, n := range c.nodes {
			if len(n.orders.status()) > 0 {
				holder = id
			}
		}
		return holder != ""
	})
	c.nodes[holder].stop()
	delete(c.nodes, holder)
	c.store.Publish("m", 2)
	c.eventually("version 2 on both engines after the holder's stop", func() bool {
		return engines[0].Status().Version == 2 && engines[1].Status().Version == 2
	})
}

func TestDrainingTargetsAreKnownToAllStewards(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{})
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.waitConverged()
	c.mustApply(a, servicePool("c1", "pantry"))
	if _, err := a.report(t.Context(), wire.ReportParams{Leaving: []string{"127.0.0.1:77"}}); err != nil {
		t.Fatal(err)
	}
	c.vms.Put(trial.VM{Name: "t", Address: "127.0.0.1:9", AvailabilityZone: "a", Role: trial.VMRoleTarget, Leaving: true})
	c.eventually("both addresses draining at b", func() bool {
		d := c.state(b).Draining
		return d["127.0.0.1:77"] != "" && d["127.0.0.1:9"] != ""
	})
}

func TestRequestIsQuarantinedOnAllNodesAfterTwoTargetCrashes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, logservice.Options{})
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.waitConverged()
	report := func(n *node, d ...wire.Death) {
		if _, err := n.report(t.Context(), wire.ReportParams{Deaths: d}); err != nil {
			t.Fatal(err)
		}
	}
	report(a, wire.Death{Fingerprint: "bad", Target: "e1", Boot: "1"}, wire.Death{Fingerprint: "good", Target: "e1", Boot: "1"})
	c.eventually("suspects at b", func() bool { return len(c.state(b).Suspects) == 2 })
	report(b, wire.Death{Fingerprint: "bad", Target: "e2", Boot: "1", Alone: true})
	c.eventually("quarantine at a", func() bool { q := c.state(a).Quarantined; return len(q) == 1 && q[0].Fingerprint == "bad" })
}

func TestReportedVersionIsVerifiedWithStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	c.store.Publish("m", 3)
	_, err := a.report(t.Context(), wire.ReportParams{Versions: map[string]int64{"m": 1 << 40}})
	is.NoErr(err)
	c.eventually("the store's version at a", func() bool { return c.state(a).Versions["m"] == 3 })
}

func TestGateStaysListedDuringPlannedRestartOfItsSteward(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.waitConverged()
	go func() {
		_, _ = b.watch(t.Context(), wire.WatchParams{GateID: "b1", GateIncarnation: "g", WaitMs: waitTimeout.Milliseconds()})
	}()
	c.eventually("b's gate among the peers of a", func() bool { return len(c.state(a).Peers) == 1 })
	b.stop()
	c.eventually("b left", func() bool { return len(a.gossip.Alive()) == 1 })
	is.Equal(len(c.state(a).Peers), 1)
}

func TestLogOutageLimitsOrdersToEnginesThatCheckFencingTokens(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	checked, t1 := c.engines(1, "a", engine.Options{Model: "m", Version: 1, FencingChecked: true})
	unchecked, t2 := c.engines(1, "a", engine.Options{Model: "m", Version: 1})
	pool := func(name string, targets []config.Target, fencing bool) config.Edit {
		p := config.Pool{Name: name, Kind: config.PoolEngines, Model: "m", Targets: targets, FencingChecked: fencing, Weights: &config.Weights{Follow: true, StalenessWeight: 1}}
		return config.Edit{Key: config.PoolKey(name), Pool: &p}
	}
	c.mustApply(a, config.Change{ID: "c1", Author: "test", Edits: []config.Edit{pool("checked", t1, true), pool("unchecked", t2, false)}})
	c.eventually("leases of both pools held", func() bool { return len(a.orders.status()) == 2 })
	is.NoErr(c.log.SetFaults(logservice.Faults{Outage: true}))
	c.eventually("the lease of the unchecked pool expired", func() bool { return len(a.orders.status()) == 1 })
	c.store.Publish("m", 2)
	c.eventually("version 2 on the engine that checks tokens", func() bool { return checked[0].Status().Version == 2 })
	is.Equal(len(unchecked[0].Journal().Orders), 0)
	is.NoErr(c.log.SetFaults(logservice.Faults{}))
	c.eventually("version 2 on the other engine after the outage", func() bool { return unchecked[0].Status().Version == 2 })
}

func TestLeaseExpiresByLocalClockDuringLogOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a := c.start("a1", "a")
	c.waitConverged()
	_, targets := c.engines(1, "a", engine.Options{Model: "m", Version: 1})
	c.mustApply(a, poolChange("c1", targets))
	tb, _, _ := a.tables.active()
	c.eventually("the lease held", func() bool { _, ok := a.leases.mayOrder("a", tb.Pool("drafting")); return ok })
	is.NoErr(c.log.SetFaults(logservice.Faults{Outage: true}))
	c.eventually("the lease expired by the holder's clock", func() bool { _, ok := a.leases.mayOrder("a", tb.Pool("drafting")); return !ok })
}

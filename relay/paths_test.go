package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func TestCallsGoThroughAPeerUntilTheDirectPathIsBack(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.setPeers([]string{"a", "b"})
	is.True(p.direct(start))
	is.True(p.directFailed(start))
	is.True(!p.directFailed(start.Add(time.Millisecond))) // only the first failure loses the path
	is.True(!p.direct(start))
	is.True(!p.directAnswered(start.Add(-time.Second))) // a call from before the failure
	is.True(!p.direct(start))
	is.True(p.directAnswered(start.Add(time.Second)))
	is.True(p.direct(start))
}

func TestPeerThatAnsweredIsKeptUntilItFails(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.setPeers([]string{"a", "b", "c"})
	p.peerAnswered("b")
	for range 20 {
		is.Equal(p.peer(start), "b")
	}
	p.peerFailed(start, "b", true)
	p.peerFailed(start, "c", true)
	for range 20 {
		is.Equal(p.peer(start), "a")
	}
	p.peerFailed(start, "a", true)
	is.Equal(p.peer(start), "")
	is.True(p.peer(start.Add(peerCooldown)) != "")
	p.peerAnswered("a")
	p.setPeers([]string{"b"}) // a has ended
	is.Equal(p.peer(start.Add(peerCooldown)), "b")
}

// TestOutageForAllSendsCallsDirectly covers an outage of the store for all VMs: each would ask three others for each call.
func TestOutageForAllSendsCallsDirectly(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.setPeers([]string{"a", "b"})
	p.directFailed(start)
	p.peerFailed(start, "a", true)
	p.allFailed(start)
	is.True(p.direct(start))
	is.Equal(p.peer(start), "")
	later := start.Add(outagePause)
	is.True(!p.direct(later))
	is.True(p.peer(later) != "") // also those that failed in the outage are asked again
}

func TestVMIsIsolatedIfNeitherStoreNorPeersAnswer(t *testing.T) {
	later := start.Add(isolationDelay)
	for _, tc := range []struct {
		name    string
		peers   []string
		history func(p *paths)
		want    bool
	}{
		{"zone cut off", []string{"a", "b", "c", "d"}, func(p *paths) {
			for _, a := range []string{"a", "b", "c"} {
				p.peerFailed(start, a, false)
			}
		}, true},
		{"two peers only", []string{"a", "b"}, func(p *paths) {
			p.peerFailed(start, "a", false)
			p.peerFailed(start, "b", false)
		}, true},
		{"store out: peers answer that they don't reach it", []string{"a", "b", "c"}, func(p *paths) {
			p.peerFailed(start, "a", false) // has ended
			p.peerFailed(start, "b", true)
			p.peerFailed(start, "c", true)
		}, false},
		{"too few asked", []string{"a", "b", "c", "d"}, func(p *paths) { p.peerFailed(start, "a", false) }, false},
		{"a peer reaches the store", []string{"a", "b", "c"}, func(p *paths) {
			p.peerFailed(start, "a", false)
			p.peerFailed(start, "b", false)
			p.peerFailed(start, "c", false)
			p.peerAnswered("a")
		}, false},
		{"the store is back", []string{"a"}, func(p *paths) {
			p.peerFailed(start, "a", false)
			p.directAnswered(later)
		}, false},
		{"no peers are known", nil, func(*paths) {}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := newPaths()
			p.setPeers(tc.peers)
			p.directFailed(start)
			tc.history(p)
			is.True(!p.isolated(start))
			is.Equal(p.isolated(later), tc.want)
		})
	}
}

func TestLargePeersOfOtherZonesAreAsked(t *testing.T) {
	is := is.New(t)
	d := &Directory{VM: "a1", AvailabilityZone: "a", announced: map[string]announcement{"a1": {"1", "a", false, ""}}}
	for _, tc := range []struct {
		vm   string
		a    announcement
		want string
	}{
		{"a2", announcement{"2", "a", true, ""}, "2"},
		{"a3", announcement{"3", "a", false, ""}, "3"},
		{"b1", announcement{"4", "b", true, ""}, "4"},
		{"b2", announcement{"5", "b", false, ""}, "5"},
	} { // each is preferred to those before
		d.announced[tc.vm] = tc.a
		is.Equal(d.peers(), []string{tc.want})
	}
}

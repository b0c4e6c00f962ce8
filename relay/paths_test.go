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
	p.peerFailed(start, "b")
	p.peerFailed(start, "c")
	for range 20 {
		is.Equal(p.peer(start), "a")
	}
	p.peerFailed(start, "a")
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
	p.peerFailed(start, "a")
	p.allFailed(start)
	is.True(p.direct(start))
	is.Equal(p.peer(start), "")
	later := start.Add(outagePause)
	is.True(!p.direct(later))
	is.True(p.peer(later) != "") // also those that failed in the outage are asked again
}

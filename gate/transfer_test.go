package gate

import (
	"context"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/ticket"
	"github.com/matryer/is"
)

// A call that finds its key transferred must not release the key if another call has accepted it back and
// is running it.
func TestCallThatDidNotBeginAKeyDoesNotReleaseIt(t *testing.T) {
	is := is.New(t)
	g := &Gate{incarnation: "1"}
	g.opts.Settings = settings.Gate{Node: settings.Node{ID: "a"}}
	k := &keyManager{gate: g, outcomes: ticket.NewOutcomeStore()}
	kc := keyedCall{key: "k", fingerprint: "fp"}
	now := time.Now()
	k.outcomes.Begin(now, kc.key, kc.fingerprint, "c1")
	k.outcomes.Release(now, kc.key)
	_, ok := k.outcomes.Transfer(now, kc.key, kc.fingerprint, ticket.Holder{Gate: "b", Incarnation: "1"})
	is.True(ok)
	is.True(k.outcomes.AcceptTransfer(now, kc.key, "c1")) // another call runs it here again

	_, _, err := k.takeOver(context.Background(), ticket.Holder{Gate: "a", Incarnation: "1"}, kc, false)
	is.True(err != nil)
	status, _, _ := k.outcomes.Begin(now, kc.key, kc.fingerprint, "c2")
	is.Equal(status, ticket.StatusRunning)
}

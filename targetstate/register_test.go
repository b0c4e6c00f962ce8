package targetstate

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

var start = time.Unix(1_800_000_000, 0)

func instance(id string, startedMs int64) *fleet.Instance {
	return &fleet.Instance{Target: config.Target{Name: id}, Pool: "p", StartedMs: startedMs}
}

func limitedTo(perSecond float64) *targets.Response { return &targets.Response{RateLimit: &perSecond} }

func TestNewestStatementOfALimitHolds(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type answer struct {
		sentMs, receivedMs int
		response           *targets.Response
	}
	for _, tc := range []struct {
		name    string
		answers []answer
		want    float64 // 0 means no limit
	}{
		{"no statement", []answer{{0, 10, &targets.Response{}}}, 0},
		{"named", []answer{{0, 10, limitedTo(2)}}, 2},
		{"changed", []answer{{0, 10, limitedTo(2)}, {20, 30, limitedTo(0.5)}}, 0.5},
		{"lifted by a later request", []answer{{0, 10, limitedTo(2)}, {20, 30, &targets.Response{}}}, 0},
		{"not lifted by an answer that was overtaken", []answer{{5, 10, limitedTo(2)}, {0, 30, &targets.Response{}}}, 2},
		{"not lifted by another instance at the address", []answer{{0, 10, limitedTo(2)}, {20, 30, &targets.Response{WrongInstance: true}}}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegister(slog.New(slog.DiscardHandler), process.NewMetrics())
			for _, a := range tc.answers {
				r.Observe(instance("i", 1), at(a.sentMs), at(a.receivedMs), a.response)
			}
			got, ok := r.RateLimit(instance("i", 1))
			is.Equal(ok, tc.want > 0)
			is.Equal(got.PerSecond, tc.want)
			_, ok = r.RateLimit(instance("i", 2)) // a new process under the same ID
			is.True(!ok)
		})
	}
}

func TestDrainingHoldsUntilANewProcessStarts(t *testing.T) {
	is := is.New(t)
	r := NewRegister(slog.New(slog.DiscardHandler), process.NewMetrics())
	r.Observe(instance("i", 1), start, start, &targets.Response{Draining: true, WrongInstance: true}) // another instance at the address
	is.True(!r.Draining(instance("i", 1)))
	r.Observe(instance("i", 1), start, start, &targets.Response{Draining: true})
	r.Observe(instance("i", 1), start, start.Add(time.Second), &targets.Response{}) // an answer that was under way
	is.True(r.Draining(instance("i", 1)))
	is.True(!r.Draining(instance("i", 2)))
	is.True(!r.Draining(instance("j", 1)))
	registered := instance("j", 1)
	registered.Target.Draining = true
	is.True(r.Draining(registered))
	is.True((*Register)(nil).Draining(registered))
	_, limited := r.RateLimit(instance("i", 1))
	is.True(!limited)
	r.Observe(instance("k", 1), start, start.Add(stateTTL+time.Hour), limitedTo(3)) // expires old states
	is.True(r.Draining(instance("i", 1)))
	is.Equal(r.DrainingTargets(), []string{"i"})
}

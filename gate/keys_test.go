package gate

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/matryer/is"
)

func code(t *testing.T, r *http.Response) api.Code {
	t.Helper()
	var b api.ErrorBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Error == nil {
		t.Fatalf("no error body: %v", err)
	}
	return b.Error.Code
}

func text(t *testing.T, r *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func (f *fleet) mint(i int) string {
	var res api.TicketResponse
	if err := json.NewDecoder(f.send(i, http.MethodPost, "/v1/tickets", "").Body).Decode(&res); err != nil {
		f.t.Fatal(err)
	}
	return res.Ticket
}

func TestSameKeyThroughTwoGatesRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 3, services: 2})
	first := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k1")
	is.Equal(first.StatusCode, http.StatusOK)
	is.Equal(outcome(first), api.OutcomeDone)
	want := text(t, first)
	for i := range f.nodes {
		again := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k1")
		is.Equal(again.StatusCode, http.StatusOK)
		is.Equal(again.Header.Get(api.HeaderReplayed), "true")
		is.Equal(text(t, again), want)
	}
	is.Equal(f.executed(), int64(1))
	for i := range f.nodes {
		other := f.send(i, http.MethodPost, "/corrections/1", "other body", api.HeaderIdempotencyKey, "k1")
		is.Equal(other.StatusCode, http.StatusUnprocessableEntity)
		is.Equal(outcome(other), api.OutcomeNotRun)
		is.Equal(code(t, other), api.CodeKeyReused)
	}
	is.Equal(f.executed(), int64(1))
}

func TestSameKeyAtOnceRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 3, services: 2})
	is.NoErr(f.services[0].SetFaults(service.Faults{DelayMs: 30}))
	is.NoErr(f.services[1].SetFaults(service.Faults{DelayMs: 30}))
	var wg sync.WaitGroup
	for range 4 {
		for i := range f.nodes {
			wg.Go(func() {
				r := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
				if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusConflict {
					t.Errorf("status %d", r.StatusCode)
				}
			})
		}
	}
	wg.Wait()
	is.Equal(f.executed(), int64(1))
}

func TestClaimsUnavailableIsRefusedAtOnceAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 1})
	f.steward.mu.Lock()
	f.steward.claimFail = true
	f.steward.mu.Unlock()
	r := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(r), api.OutcomeNotRun)
	is.True(r.Header.Get("Retry-After") != "")
	is.Equal(code(t, r), api.CodeClaimUnavailable)
	is.Equal(f.executed(), int64(0))

	withTicket := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, f.mint(0))
	is.Equal(withTicket.StatusCode, http.StatusOK) // tickets need no log
	is.Equal(f.executed(), int64(1))
}

func TestClaimWithLostAnswerRunsOnceWhenSentAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 1})
	f.steward.mu.Lock()
	f.steward.loseClaim = true
	f.steward.mu.Unlock()
	lost := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
	is.Equal(outcome(lost), api.OutcomeNotRun)
	is.Equal(f.executed(), int64(0))
	for range 2 {
		r := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
		is.Equal(r.StatusCode, http.StatusOK)
	}
	is.Equal(f.executed(), int64(1))
}

func TestTicketRunsOnceAndOnlyAtItsGate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 2, services: 1})
	used := f.mint(0)
	first := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, used)
	is.Equal(first.StatusCode, http.StatusOK)
	want := text(t, first)
	for i := range f.nodes {
		again := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, used)
		is.Equal(again.Header.Get(api.HeaderReplayed), "true")
		is.Equal(text(t, again), want)
	}
	is.Equal(f.executed(), int64(1))

	revoked := f.mint(0)
	elsewhere := f.send(1, http.MethodPost, "/corrections/2", "body", api.HeaderTicket, revoked)
	is.Equal(outcome(elsewhere), api.OutcomeNotRun)
	late := f.send(0, http.MethodPost, "/corrections/2", "body", api.HeaderTicket, revoked)
	is.Equal(outcome(late), api.OutcomeNotRun) // the promise of "not run" holds for copies that come late
	is.Equal(f.executed(), int64(1))

	forged := f.send(0, http.MethodPost, "/corrections/2", "body", api.HeaderTicket, revoked[:len(revoked)-3]+"abc")
	is.Equal(forged.StatusCode, http.StatusBadRequest)
	is.Equal(f.executed(), int64(1))
}

func TestOwnerGoneAnswersUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 2, services: 1})
	ticket := f.mint(0)
	is.Equal(f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, ticket).StatusCode, http.StatusOK)
	is.Equal(f.send(0, http.MethodPost, "/corrections/2", "body", api.HeaderIdempotencyKey, "k").StatusCode, http.StatusOK)
	f.nodes[0].stop()
	<-f.nodes[0].done
	for path, h := range map[string][2]string{"/corrections/1": {api.HeaderTicket, ticket}, "/corrections/2": {api.HeaderIdempotencyKey, "k"}} {
		r := f.send(1, http.MethodPost, path, "body", h[0], h[1])
		is.Equal(outcome(r), api.OutcomeUnknown)
		is.True(r.StatusCode >= 400)
	}
	is.Equal(f.executed(), int64(2))
}

func TestAnswerLostAfterRunIsUnknownForEver(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 2, services: 2})
	for _, point := range []service.Point{service.PointReceived, service.PointExecuted, service.PointMidBody, service.PointLastByte} {
		for _, s := range f.services {
			is.NoErr(s.SetFaults(service.Faults{DieAt: point, DieCalls: -1}))
		}
		before := f.executed()
		r := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, string(point))
		is.Equal(outcome(r), api.OutcomeUnknown)
		for _, s := range f.services {
			is.NoErr(s.SetFaults(service.Faults{}))
		}
		for i := range f.nodes {
			again := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, string(point))
			is.Equal(outcome(again), api.OutcomeUnknown)
		}
		is.True(f.executed()-before <= 1)
	}
}

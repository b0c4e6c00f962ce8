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

func errorCode(t *testing.T, r *http.Response) api.Code {
	t.Helper()
	var b api.ErrorBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Error == nil {
		t.Fatalf("response has no error body: %v", err)
	}
	return b.Error.Code
}

func bodyText(t *testing.T, r *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func (f *fleet) mintTicket(i int) string {
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
	want := bodyText(t, first)
	for i := range f.gates {
		replay := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k1")
		is.Equal(replay.StatusCode, http.StatusOK)
		is.Equal(replay.Header.Get(api.HeaderReplayed), "true")
		is.Equal(bodyText(t, replay), want)
	}
	is.Equal(f.executedCalls(), int64(1))
	for i := range f.gates {
		other := f.send(i, http.MethodPost, "/corrections/1", "other body", api.HeaderIdempotencyKey, "k1")
		is.Equal(other.StatusCode, http.StatusUnprocessableEntity)
		is.Equal(outcome(other), api.OutcomeNotRun)
		is.Equal(errorCode(t, other), api.CodeKeyReused)
	}
	is.Equal(f.executedCalls(), int64(1))
}

func TestSameKeyAtOnceRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 3, services: 2})
	is.NoErr(f.services[0].SetFaults(service.Faults{DelayMs: 30}))
	is.NoErr(f.services[1].SetFaults(service.Faults{DelayMs: 30}))
	var wg sync.WaitGroup
	for range 4 {
		for i := range f.gates {
			wg.Go(func() {
				r := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
				if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusConflict {
					t.Errorf("status %d, want 200 or 409", r.StatusCode)
				}
			})
		}
	}
	wg.Wait()
	is.Equal(f.executedCalls(), int64(1))
}

func TestClaimsUnavailableIsRefusedAtOnceAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 1})
	f.steward.mu.Lock()
	f.steward.failClaims = true
	f.steward.mu.Unlock()
	r := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(r), api.OutcomeNotRun)
	is.True(r.Header.Get("Retry-After") != "")
	is.Equal(errorCode(t, r), api.CodeClaimUnavailable)
	is.Equal(f.executedCalls(), int64(0))

	withTicket := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, f.mintTicket(0))
	is.Equal(withTicket.StatusCode, http.StatusOK) // tickets need no log
	is.Equal(f.executedCalls(), int64(1))
}

func TestClaimWithLostAnswerRunsOnceWhenSentAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, services: 1})
	f.steward.mu.Lock()
	f.steward.loseNextClaimAnswer = true
	f.steward.mu.Unlock()
	lost := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
	is.Equal(outcome(lost), api.OutcomeNotRun)
	is.Equal(f.executedCalls(), int64(0))
	for range 2 {
		r := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, "k")
		is.Equal(r.StatusCode, http.StatusOK)
	}
	is.Equal(f.executedCalls(), int64(1))
}

func TestTicketRunsOnceAndOnlyAtItsGate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 2, services: 1})
	used := f.mintTicket(0)
	first := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, used)
	is.Equal(first.StatusCode, http.StatusOK)
	want := bodyText(t, first)
	for i := range f.gates {
		replay := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, used)
		is.Equal(replay.Header.Get(api.HeaderReplayed), "true")
		is.Equal(bodyText(t, replay), want)
	}
	is.Equal(f.executedCalls(), int64(1))

	revoked := f.mintTicket(0)
	elsewhere := f.send(1, http.MethodPost, "/corrections/2", "body", api.HeaderTicket, revoked)
	is.Equal(outcome(elsewhere), api.OutcomeNotRun)
	late := f.send(0, http.MethodPost, "/corrections/2", "body", api.HeaderTicket, revoked)
	is.Equal(outcome(late), api.OutcomeNotRun) // after an answer "not run", a late copy must not run either
	is.Equal(f.executedCalls(), int64(1))

	forged := f.send(0, http.MethodPost, "/corrections/2", "body", api.HeaderTicket, revoked[:len(revoked)-3]+"abc")
	is.Equal(forged.StatusCode, http.StatusBadRequest)
	is.Equal(f.executedCalls(), int64(1))
}

func TestKeyOfStoppedGateIsAnsweredUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 2, services: 1})
	ticket := f.mintTicket(0)
	is.Equal(f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderTicket, ticket).StatusCode, http.StatusOK)
	is.Equal(f.send(0, http.MethodPost, "/corrections/2", "body", api.HeaderIdempotencyKey, "k").StatusCode, http.StatusOK)
	f.gates[0].stop()
	<-f.gates[0].done
	for path, h := range map[string][2]string{"/corrections/1": {api.HeaderTicket, ticket}, "/corrections/2": {api.HeaderIdempotencyKey, "k"}} {
		r := f.send(1, http.MethodPost, path, "body", h[0], h[1])
		is.Equal(outcome(r), api.OutcomeUnknown)
		is.True(r.StatusCode >= 400)
	}
	is.Equal(f.executedCalls(), int64(2))
}

func TestLostAnswerAfterRunStaysUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 2, services: 2})
	for _, point := range []service.Point{service.PointReceived, service.PointExecuted, service.PointMidBody, service.PointLastByte} {
		for _, s := range f.services {
			is.NoErr(s.SetFaults(service.Faults{DieAt: point, DieCalls: -1}))
		}
		before := f.executedCalls()
		r := f.send(0, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, string(point))
		is.Equal(outcome(r), api.OutcomeUnknown)
		for _, s := range f.services {
			is.NoErr(s.SetFaults(service.Faults{}))
		}
		for i := range f.gates {
			repeated := f.send(i, http.MethodPost, "/corrections/1", "body", api.HeaderIdempotencyKey, string(point))
			is.Equal(outcome(repeated), api.OutcomeUnknown)
		}
		is.True(f.executedCalls()-before <= 1)
	}
}

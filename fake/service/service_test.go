package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/process"
	"github.com/matryer/is"
)

// post sends one call on a separate connection and returns the status, the body and the error.
func post(t *testing.T, url, checkID, body string) (int, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderCheckID, checkID)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

func TestCallFailsAtEachFaultPoint(t *testing.T) {
	for _, c := range []struct {
		point    Point
		executed int64
	}{{PointAccept, 0}, {PointReceived, 0}, {PointExecuted, 1}, {PointMidBody, 1}, {PointLastByte, 1}} {
		t.Run(string(c.point), func(t *testing.T) {
			is := is.New(t)
			s := New(Options{Name: "bookings"})
			hs := httptest.NewServer(s.Handler())
			defer hs.Close()
			is.NoErr(s.SetFaults(Faults{DieAt: c.point, DieCalls: 1}))
			_, _, err := post(t, hs.URL+"/orders", "a", "1")
			is.True(err != nil)
			is.Equal(s.Journal().Executed, c.executed)
			status, _, err := post(t, hs.URL+"/orders", "b", "1") // the fault is used up
			is.NoErr(err)
			is.Equal(status, 200)
		})
	}
}

func TestScoreIsAnsweredAndRefusedCallsAreNotExecuted(t *testing.T) {
	is := is.New(t)
	s := New(Options{Name: "scoring"})
	hs := httptest.NewServer(s.Handler())
	defer hs.Close()
	status, body, err := post(t, hs.URL+"/scoring/score", "c1", `{"step":"s","slot":1,"group":"g","prompt":"p","text":" bababa"}`)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, `{"score":`+strings.TrimSpace(jsonNumber(answer.Score("p", " bababa")))+`}`)
	j := s.Journal()
	is.Equal(len(j.Calls), 1)
	is.Equal(j.Calls[0].CheckID, "c1")
	is.NoErr(s.SetFaults(Faults{Refuse: true}))
	status, _, err = post(t, hs.URL+"/x", "c2", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(s.Journal().Executed, int64(1)) // refused calls are not executed
}

func jsonNumber(f float64) string {
	w := httptest.NewRecorder()
	process.WriteJSON(w, 200, f)
	return w.Body.String()
}

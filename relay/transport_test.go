package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeStore counts the calls that it executes.
type fakeStore struct {
	*httptest.Server
	executed atomic.Int32
	// serve answers a call.
	serve func(w http.ResponseWriter, r *http.Request)
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{}
	s.serve = func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		s.executed.Add(1)
		_, _ = w.Write(append([]byte(r.URL.RequestURI()+" "), body...))
	}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r) }))
	t.Cleanup(s.Close)
	return s
}

func refused(status int) bool { return status == http.StatusServiceUnavailable }

// roundTripper fails or passes calls on to the default transport.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

var (
	errDial  = &net.OpError{Op: "dial", Err: errors.New("no route")}
	errReset = &net.OpError{Op: "read", Err: errors.New("connection reset")}
)

func newTestTransport(direct http.RoundTripper) *Transport {
	return NewTransport(Options{
		Direct: direct, Peer: http.DefaultTransport, ProbeURL: "http://127.0.0.1:1/", Refused: refused, Log: slog.New(slog.DiscardHandler),
	})
}

// newPeer starts the relay of a VM that reaches the store over direct, and returns its address.
func newPeer(t *testing.T, s *fakeStore, direct http.RoundTripper) string {
	address := strings.TrimPrefix(s.URL, "http://")
	srv := httptest.NewServer(&Server{Transport: newTestTransport(direct), StoreAddress: address, PathPrefix: "/v1/", MaxBodyBytes: 100})
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func call(t *testing.T, tr *Transport, method, url, body string) (string, int, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.StatusCode, err
}

func TestCallsOfAVMThatIsTurnedAwayGoThroughAPeer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		direct roundTripper
		method string
		passed bool // whether the call may be sent to a peer as well
	}{
		{"append, no connection", func(*http.Request) (*http.Response, error) { return nil, errDial }, http.MethodPost, true},
		{"append, refused", func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
		}, http.MethodPost, true},
		{"read, no answer", func(*http.Request) (*http.Response, error) { return nil, errReset }, http.MethodGet, true},
		{"append, no answer: it may have been executed", func(*http.Request) (*http.Response, error) { return nil, errReset }, http.MethodPost, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeStore(t)
			tr := newTestTransport(tc.direct)
			tr.SetPeers([]string{newPeer(t, s, http.DefaultTransport)})
			text, status, err := call(t, tr, tc.method, s.URL+"/v1/x?a=1", "body")
			if tc.passed {
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(text, "/v1/x?a=1 body")
				is.Equal(s.executed.Load(), int32(1))
				return
			}
			is.Equal(err, error(errReset))
			is.Equal(s.executed.Load(), int32(0))
			_, status, err = call(t, tr, tc.method, s.URL+"/v1/x?a=1", "body") // the next call goes through the peer at once
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}

func TestPeerWithoutTheStoreIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newFakeStore(t)
	cut := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errDial })
	tr := newTestTransport(cut)
	tr.SetPeers([]string{newPeer(t, s, cut), newPeer(t, s, cut), newPeer(t, s, http.DefaultTransport)})
	_, status, err := call(t, tr, http.MethodPost, s.URL+"/v1/x", "body")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(s.executed.Load(), int32(1))
}

// TestAppendIsNotSentAgainAfterAPeerLostTheAnswer covers a peer whose own call got no answer: the append may have been executed.
func TestAppendIsNotSentAgainAfterAPeerLostTheAnswer(t *testing.T) {
	is := is.New(t)
	s := newFakeStore(t)
	cut := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errDial })
	reset := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errReset })
	tr := newTestTransport(cut)
	tr.SetPeers([]string{newPeer(t, s, reset)})
	_, _, err := call(t, tr, http.MethodPost, s.URL+"/v1/x", "body")
	is.True(err != nil)
	var op *net.OpError
	is.True(!errors.As(err, &op) || op.Op != "dial") // not reported as certainly not executed
}

func TestWithoutAnyPathTheErrorSaysThatNothingWasSent(t *testing.T) {
	is := is.New(t)
	cut := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errDial })
	tr := newTestTransport(cut)
	tr.SetPeers([]string{"127.0.0.1:1"})
	for range 2 {
		_, _, err := call(t, tr, http.MethodPost, "http://127.0.0.1:1/v1/x", "body")
		var op *net.OpError
		is.True(errors.As(err, &op))
		is.Equal(op.Op, "dial")
	}
}

func TestRelayServesOnlyCallsToTheStore(t *testing.T) {
	is := is.New(t)
	s := newFakeStore(t)
	address := newPeer(t, s, http.DefaultTransport)
	resp, err := http.Get("http://" + address + "/debug/vars")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNotFound)
	resp, err = http.Post("http://"+address+"/v1/x", "", strings.NewReader(strings.Repeat("x", 101)))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(s.executed.Load(), int32(0))
}

// silencer passes connections on to an address. After silence, the open ones stay open but carry nothing more; new ones work.
type silencer struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newSilencer(t *testing.T, address string) *silencer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silencer{Listener: l}
	t.Cleanup(func() {
		l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", address)
			if err != nil {
				c.Close()
				continue
			}
			s.mu.Lock()
			s.conns = append(s.conns, c, up)
			s.mu.Unlock()
			go func() { _, _ = io.Copy(up, c) }()
			go func() { _, _ = io.Copy(c, up) }()
		}
	}()
	return s
}

// silence cuts the open connections behind the listener without closing them towards the client.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.conns {
		if i%2 == 1 {
			_ = c.SetDeadline(time.Now()) // ends the copying in both directions
		}
	}
}

// TestConnectionsThatStaySilentAreNotTriedOneByOne replays the end of an outage on Trinacria: a holder's calls each took one of
// the kept connections, all of which were silent for good, and its tenure went to another VM a second after the store was back.
func TestConnectionsThatStaySilentAreNotTriedOneByOne(t *testing.T) {
	is := is.New(t)
	s := newFakeStore(t)
	via := newSilencer(t, strings.TrimPrefix(s.URL, "http://"))
	tr := newTestTransport(&http.Transport{MaxIdleConnsPerHost: 16})
	storeURL := "http://" + via.Addr().String() + "/v1/x"
	var wg sync.WaitGroup
	hold := make(chan struct{})
	serve := s.serve
	s.serve = func(w http.ResponseWriter, r *http.Request) {
		<-hold // so that each call opens a connection
		serve(w, r)
	}
	for range 8 {
		wg.Go(func() {
			if _, _, err := call(t, tr, http.MethodGet, storeURL, ""); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	close(hold)
	wg.Wait()
	via.silence()
	const callTimeout = 200 * time.Millisecond
	failed := 0
	for ; failed < 8; failed++ {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, storeURL, nil)
		is.NoErr(err)
		resp, err := tr.RoundTrip(req)
		if err == nil {
			resp.Body.Close()
		}
		cancel()
		if err == nil {
			break
		}
	}
	is.Equal(failed, 1)
}

package memory

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout ends a test that hangs.
const testTimeout = 10 * time.Second

// testServer serves requests on a Listener. A request for /held is answered when its connection receives from release.
type testServer struct {
	*Listener
	is      *is.I
	address string
	held    chan struct{}
	release chan struct{}
}

func startTestServer(t *testing.T, l *Listener) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Listener: l, is: is.New(t), address: inner.Addr().String(), held: make(chan struct{}), release: make(chan struct{})}
	l.Listener, l.Ended = inner, new(expvar.Map)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.ContentLength != 0 {
			BodyReceived(r.Context())
		}
		if r.URL.Path == "/held" {
			s.held <- struct{}{}
			<-s.release
		}
	})}
	go func() { _ = l.Serve(server) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return s
}

// testClient is a connection to a testServer.
type testClient struct {
	net.Conn
	s  *testServer
	in *bufio.Reader
}

func (s *testServer) connect() *testClient {
	s.is.Helper()
	c, err := net.Dial("tcp", s.address)
	s.is.NoErr(err)
	s.is.NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	return &testClient{Conn: c, s: s, in: bufio.NewReader(c)}
}

func (c *testClient) send(text string) {
	c.s.is.Helper()
	_, err := io.WriteString(c, text)
	c.s.is.NoErr(err)
}

// status reads an answer and returns its status; 0 if the connection has ended without one.
func (c *testClient) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	c.s.is.NoErr(err)
	return resp.StatusCode
}

// get sends a whole request and returns the status of its answer.
func (c *testClient) get(path string) int {
	c.s.is.Helper()
	c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	return c.status()
}

// eventually waits until ok, which is called with the listener locked, returns true.
func (s *testServer) eventually(ok func() bool) {
	s.is.Helper()
	locked := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return ok()
	}
	for deadline := time.Now().Add(testTimeout); !locked(); time.Sleep(time.Millisecond) {
		s.is.True(time.Now().Before(deadline))
	}
}

// eventuallyWaiting waits until n connections wait for their clients, and none of them is still writing an answer that its client has already.
func (s *testServer) eventuallyWaiting(n int) {
	s.is.Helper()
	s.eventually(func() bool {
		for e := s.waiting.Front(); e != nil; e = e.Next() {
			if !e.Value.(*clientConn).unreadSince.IsZero() {
				return false
			}
		}
		return s.waiting.Len() == n
	})
}

func (s *testServer) endedFor(reason string) string {
	if v := s.Ended.Get(reason); v != nil {
		return v.String()
	}
	return "0"
}

// TestNewConnectionTakesThePlaceOfTheLongestWait guards against clients that take up all connections, and against the end of connections whose
// requests are being worked on.
func TestNewConnectionTakesThePlaceOfTheLongestWait(t *testing.T) {
	for _, tc := range []struct {
		name string
		wait func(s *testServer) *testClient
	}{
		{"for a request", func(s *testServer) *testClient { return s.connect() }},
		{"within a head", func(s *testServer) *testClient {
			before := s.Heads.State().Held
			c := s.connect()
			c.send("GET / HTTP/1.1\r\n")
			s.eventually(func() bool { return s.Heads.State().Held > before })
			return c
		}},
		{"within a body", func(s *testServer) *testClient {
			c := s.connect()
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
			s.is.Equal(c.status(), http.StatusContinue)
			return c
		}},
		{"for the next request", func(s *testServer) *testClient {
			c := s.connect()
			s.is.Equal(c.get("/"), http.StatusOK)
			return c
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startTestServer(t, &Listener{MaxOpen: 3, Heads: NewBudget(1 << 20)})
			busy := s.connect()
			busy.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
			<-s.held
			first := tc.wait(s)
			s.eventuallyWaiting(1)
			second := s.connect()
			s.is.Equal(second.get("/"), http.StatusOK)
			s.eventuallyWaiting(2)
			third := s.connect()
			s.is.Equal(third.get("/"), http.StatusOK)
			s.is.Equal(first.status(), 0) // it has waited longer than the second
			s.is.Equal(second.get("/"), http.StatusOK)
			s.is.Equal(s.endedFor(endedLongestWait), "1")
			close(s.release)
			s.is.Equal(busy.status(), http.StatusOK)
			s.is.Equal(s.Open(), 3)
		})
	}
}

// TestConnectionIsRefusedIfAllOthersAreWorkedFor guards against an accepted request that is cut off for a new connection.
func TestConnectionIsRefusedIfAllOthersAreWorkedFor(t *testing.T) {
	s := startTestServer(t, &Listener{MaxOpen: 2})
	var busy []*testClient
	for range 2 {
		c := s.connect()
		c.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.held
		busy = append(busy, c)
	}
	s.is.Equal(s.connect().status(), http.StatusServiceUnavailable)
	close(s.release)
	for _, c := range busy {
		s.is.Equal(c.status(), http.StatusOK)
	}
	s.eventuallyWaiting(2)
	s.is.Equal(s.connect().get("/"), http.StatusOK)
	s.is.Equal(s.endedFor(endedNoRoom), "1")
}

// TestHeadOverTheLimitIsAnsweredBeforeItEnds guards against heads that are kept although they are over the limit, and against refusals that are
// lost because the client is still sending.
func TestHeadOverTheLimitIsAnsweredBeforeItEnds(t *testing.T) {
	s := startTestServer(t, &Listener{HeadLimit: func() int { return 1000 }})
	for range 2 { // in the first request of a connection, and in the second
		c := s.connect()
		s.is.Equal(c.get("/"), http.StatusOK)
		c.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 6000))
		s.is.Equal(c.status(), http.StatusRequestHeaderFieldsTooLarge)
	}
	s.is.Equal(s.endedFor(endedHeadTooLarge), "2")
}

// TestUnfinishedHeadsGiveWayToSmallerOnes guards against large heads that are not finished and keep out ordinary requests.
func TestUnfinishedHeadsGiveWayToSmallerOnes(t *testing.T) {
	const count = 3
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500)
	s := startTestServer(t, &Listener{Heads: NewBudget(count * headMemory(int64(len(head)), strings.Count(head, "\n")))})
	var large []*testClient
	for range count {
		c := s.connect()
		c.send(head)
		large = append(large, c)
	}
	s.eventually(func() bool { return s.Heads.State().Held == s.Heads.State().Limit })
	for i := range 8 {
		s.is.Equal(s.connect().get(fmt.Sprintf("/%d", i)), http.StatusOK)
	}
	s.is.Equal(s.endedFor(endedHeadsFull), "1") // one makes room for all that follow
	answered := 0
	for _, c := range large {
		_, _ = io.WriteString(c, "\r\n") // fails on the one that was ended
		if c.status() == http.StatusOK {
			answered++
		}
	}
	s.is.Equal(answered, count-1)
}

// TestPipelinedHeadsAreHeld guards against heads that are read with the request before and held unaccounted.
func TestPipelinedHeadsAreHeld(t *testing.T) {
	s := startTestServer(t, &Listener{Heads: NewBudget(1 << 20)})
	c := s.connect()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /held HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n")
	s.is.Equal(c.status(), http.StatusOK)
	<-s.held
	s.is.True(s.Heads.State().Held >= 500*headLineBytes)
	close(s.release)
	s.is.Equal(c.status(), http.StatusOK)
	s.is.Equal(c.get("/"), http.StatusOK)
	c.Close()
}

// TestEndedConnectionsAreReportedWithinALimit guards against a log that clients can fill.
func TestEndedConnectionsAreReportedWithinALimit(t *testing.T) {
	is := is.New(t)
	var l Listener
	now := time.Now()
	is.Equal(l.dueReport(endedNoRoom, now), 1)
	for range 99 {
		is.Equal(l.dueReport(endedNoRoom, now.Add(reportInterval/2)), 0)
	}
	is.Equal(l.dueReport(endedHeadsFull, now), 1)
	is.Equal(l.dueReport(endedNoRoom, now.Add(reportInterval)), 100)
}

package memory

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// sendBuffer is the kernel's buffer of a connection, in bytes. The kernel reports progress only after a third of it was read, so that with
	// its usual size of megabytes a slow reader could not be told from a stalled one.
	sendBuffer = 128 << 10
	// headReadAhead is what the HTTP server may read of a connection beyond the end of a head, in bytes.
	headReadAhead = 4 << 10
	// headCopies and headLineBytes are what a head takes in memory: its bytes as received and as sent to a target, and for each of its
	// lines the entries in the maps of both.
	headCopies    = 2
	headLineBytes = 256
	// refusalTimeout bounds the time for telling a client that its head is refused, refusalReadBytes what is read of it meanwhile: a
	// connection that is closed with unread bytes is reset, and the client would miss the answer.
	refusalTimeout   = 500 * time.Millisecond
	refusalReadBytes = 256 << 10
	// minUnreadTime is how long an answer must wait for its reader until the connection may give way to another one: that each answer waits
	// for a moment does not tell a reader that has stopped.
	minUnreadTime = time.Second
	// reportInterval is the least time between two reports of connections that were ended for the same reason.
	reportInterval = time.Second
	// fullRetryAfter is the Retry-After of a request that is refused because too much is held for others.
	fullRetryAfter = 500 * time.Millisecond
)

// Reasons for which a Listener ends connections. They are the keys of Listener.Ended.
const (
	// endedUnread: the peer read nothing of an answer for StallTimeout.
	endedUnread = "unread"
	// endedHeadTooLarge: a head exceeds HeadLimit.
	endedHeadTooLarge = "head_too_large"
	// endedHeadsFull: the heads of all connections exceed the budget.
	endedHeadsFull = "heads_full"
	// endedLongestWait: there were too many connections, and this one waited for its peer the longest.
	endedLongestWait = "longest_wait"
	// endedNoRoom: there were too many connections, and none of them waited for its peer.
	endedNoRoom = "no_room"
)

// Listener bounds the connections of clients: how many are open, and what the heads of their requests take before they are whole. It also ends
// connections whose peer reads nothing for a time while an answer waits for it; a peer that reads slowly is kept.
//
// Beyond MaxOpen, a new connection takes the place of the one that has waited for its peer the longest: for a request, for the rest of one, or
// until more of an answer is read. Serve must be used to tell it which connections wait.
type Listener struct {
	net.Listener
	// StallTimeout is how long a peer may read nothing; 0 means for ever.
	StallTimeout time.Duration
	// MaxOpen is the number of connections that may be open; 0 means no limit.
	MaxOpen int
	// HeadLimit returns the size of the largest head of a request, in bytes; nil or a result of 0 means no limit but that of the HTTP server.
	HeadLimit func() int
	// Heads bounds the memory of all heads; nil means no limit.
	Heads *Budget
	// Ended counts the connections that were ended or refused, by reason; it may be nil.
	Ended *expvar.Map
	// Stalled is called with the address of a peer that read nothing for StallTimeout; it may be nil.
	Stalled func(peer string)
	// OnEnded is called with the reason and the peer of a connection that was ended or refused otherwise, and with how many were for that
	// reason since the last call. It is called once in reportInterval for each reason; it may be nil.
	OnEnded func(reason, peer string, count int)

	mu      sync.Mutex
	open    int
	waiting list.List // of *clientConn, the longest wait first
	reports map[string]*report
}

// report is what is to be reported of the connections that were ended for a reason.
type report struct {
	last  time.Time
	count int
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBuffer) // with a larger one, only slower readers count as stalled
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		l.ended(endedNoRoom, nc)
		_ = nc.SetWriteDeadline(time.Now().Add(refusalTimeout)) // the buffer of a new connection takes the answer at once
		writeRefusal(nc, http.StatusServiceUnavailable, "too many connections; come back later, or at another VM")
		nc.Close()
	}
}

// admit adds a connection, in the place of another one if there are too many. It returns nil if there is no place.
func (l *Listener) admit(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, listener: l, inHead: true}
	l.mu.Lock()
	var victim *clientConn
	if l.MaxOpen > 0 && l.open >= l.MaxOpen {
		if victim = l.longestWaitLocked(time.Now()); victim == nil {
			l.mu.Unlock()
			return nil
		}
		victim.removeLocked()
	}
	l.open++
	c.place = l.waiting.PushBack(c)
	l.mu.Unlock()
	if victim != nil {
		l.ended(endedLongestWait, victim)
		victim.Conn.Close()
	}
	return c
}

// longestWaitLocked returns the connection that has waited for its peer the longest; nil if there is none.
func (l *Listener) longestWaitLocked(now time.Time) *clientConn {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.unreadSince.IsZero() || now.Sub(c.unreadSince) >= minUnreadTime {
			return c
		}
	}
	return nil
}

func (l *Listener) ended(reason string, c net.Conn) {
	if l.Ended != nil {
		l.Ended.Add(reason, 1)
	}
	peer := c.RemoteAddr().String()
	switch {
	case reason == endedUnread:
		if l.Stalled != nil {
			l.Stalled(peer)
		}
	case l.OnEnded != nil:
		if n := l.dueReport(reason, time.Now()); n > 0 {
			l.OnEnded(reason, peer, n)
		}
	}
}

// dueReport counts a connection that was ended, and returns how many are to be reported now.
func (l *Listener) dueReport(reason string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reports[reason]
	if r == nil {
		if l.reports == nil {
			l.reports = map[string]*report{}
		}
		r = &report{}
		l.reports[reason] = r
	}
	r.count++
	if now.Sub(r.last) < reportInterval {
		return 0
	}
	n := r.count
	r.last, r.count = now, 0
	return n
}

// connKey is the key of a request's *clientConn in its context.
type connKey struct{}

// Serve serves the requests of all connections with s. It returns s.Serve's error.
func (l *Listener) Serve(s *http.Server) error {
	stateChanged, handler := s.ConnState, s.Handler
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
			c.awaitRequest()
		}
		if stateChanged != nil {
			stateChanged(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*clientConn)
		if c != nil && !c.beginRequest(r) {
			l.ended(endedHeadsFull, c)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfterSeconds())
			http.Error(w, ErrFull.Error(), http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
	return s.Serve(l)
}

// BodyReceived tells the listener of a request that its body was received, so that it does not wait for its client any more.
func BodyReceived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		c.work()
	}
}

// ResetOnClose has the connection of a request reset when it is closed, so that the client can't take the end of the connection for that of the
// response.
func ResetOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		if tc, ok := c.Conn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // fails only if the connection has ended
		}
	}
}

// clientConn is a connection of a Listener.
type clientConn struct {
	net.Conn
	listener *Listener

	// The following are guarded by listener.mu.

	removed bool
	// place is the connection's place among those that wait for their peer; nil while it does not.
	place *list.Element
	// inHead is set while the head of a request is due or being read. headBytes is what was read of it, headHeld what it has of the budget.
	inHead              bool
	headBytes, headHeld int64
	// unreadSince is since when a part of an answer waits to be read by the peer; zero if none does.
	unreadSince time.Time
}

// removeLocked takes the connection off the listener.
func (c *clientConn) removeLocked() {
	if c.removed {
		return
	}
	c.removed = true
	c.listener.open--
	c.leaveLocked()
	c.releaseHeadLocked()
}

// waitLocked puts the connection behind all others that wait.
func (c *clientConn) waitLocked() {
	switch l := c.listener; {
	case c.removed:
	case c.place == nil:
		c.place = l.waiting.PushBack(c)
	default:
		l.waiting.MoveToBack(c.place)
	}
}

// leaveLocked takes the connection out of those that wait.
func (c *clientConn) leaveLocked() {
	if c.place != nil {
		c.listener.waiting.Remove(c.place)
		c.place = nil
	}
}

func (c *clientConn) releaseHeadLocked() {
	if c.listener.Heads != nil {
		c.listener.Heads.release(c.headHeld)
	}
	c.headBytes, c.headHeld = 0, 0
}

// holdHeadLocked raises what the head has of the budget to n bytes. If there are not as many left, it ends connections with larger unfinished
// heads, largest first. It returns the ended ones, which must be closed, and whether the head has its n bytes.
func (c *clientConn) holdHeadLocked(n int64) (ended []*clientConn, ok bool) {
	l := c.listener
	if l.Heads == nil || n <= c.headHeld {
		return nil, true
	}
	for !l.Heads.reserve(n - c.headHeld) {
		var largest *clientConn
		for e := l.waiting.Front(); e != nil; e = e.Next() {
			if o := e.Value.(*clientConn); o != c && o.inHead && o.headHeld > n && (largest == nil || o.headHeld > largest.headHeld) {
				largest = o
			}
		}
		if largest == nil {
			return ended, false
		}
		largest.removeLocked()
		ended = append(ended, largest)
	}
	c.headHeld = n
	return ended, true
}

// awaitRequest begins the wait for the next request of a kept connection.
func (c *clientConn) awaitRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.inHead = true
	c.releaseHeadLocked()
	c.waitLocked()
}

// beginRequest begins a request whose head was read. The connection waits on for the body, if there is one. It returns false if the head does
// not fit into the budget; parts of it may have been read with the request before.
func (c *clientConn) beginRequest(r *http.Request) bool {
	lines, size := 1, int64(len(r.RequestURI))
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += int64(len(name) + len(v))
		}
	}
	l := c.listener
	l.mu.Lock()
	c.inHead = false
	if r.ContentLength == 0 {
		c.leaveLocked()
	}
	ended, ok := c.holdHeadLocked(headMemory(size, lines))
	l.mu.Unlock()
	l.close(ended)
	return ok
}

// headMemory returns the memory that a head takes.
func headMemory(size int64, lines int) int64 { return headCopies*size + headLineBytes*int64(lines) }

// work ends the wait for the peer.
func (c *clientConn) work() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.leaveLocked()
}

// close closes connections that were ended for their unfinished heads.
func (l *Listener) close(ended []*clientConn) {
	for _, c := range ended {
		l.ended(endedHeadsFull, c)
		c.Conn.Close()
	}
}

// Read implements net.Conn. It returns io.EOF if a head that is being read exceeds a limit: the peer has been answered, and the HTTP server must
// write nothing more.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if status, reason := c.received(p[:n]); status != 0 {
		c.refuse(status, reason)
		return 0, io.EOF
	}
	return n, err
}

// received accounts for bytes from the peer. It returns the status with which the request must be refused, if any.
func (c *clientConn) received(p []byte) (status int, reason string) {
	l := c.listener
	l.mu.Lock()
	if c.place != nil {
		c.waitLocked()
	}
	if !c.inHead {
		l.mu.Unlock()
		return 0, ""
	}
	c.headBytes += int64(len(p))
	limit := 0
	if l.HeadLimit != nil {
		limit = l.HeadLimit()
	}
	if limit > 0 && c.headBytes > int64(limit+headReadAhead) {
		c.releaseHeadLocked()
		l.mu.Unlock()
		l.ended(endedHeadTooLarge, c)
		return http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the headers exceed %d bytes", limit)
	}
	ended, ok := c.holdHeadLocked(c.headHeld + headMemory(int64(len(p)), bytes.Count(p, []byte("\n"))))
	if !ok {
		c.releaseHeadLocked()
	}
	l.mu.Unlock()
	l.close(ended)
	if !ok {
		l.ended(endedHeadsFull, c)
		return http.StatusServiceUnavailable, ErrFull.Error()
	}
	return 0, ""
}

// refuse answers a request whose head is not whole, and reads on for a moment so that the peer gets the answer.
func (c *clientConn) refuse(status int, reason string) {
	deadline := time.Now().Add(refusalTimeout)
	if c.Conn.SetDeadline(deadline) != nil || !writeRefusal(c.Conn, status, reason) {
		return // the peer has gone, or does not read
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, tcp, refusalReadBytes) // whatever ends it, the connection is closed next
	}
}

// writeRefusal writes an answer that ends a connection, and reports whether it did.
func writeRefusal(w io.Writer, status int, reason string) bool {
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + retryAfterSeconds() + "\r\n"
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s\n",
		status, http.StatusText(status), retryAfter, len(reason)+1, reason)
	return err == nil
}

func retryAfterSeconds() string {
	return strconv.FormatFloat(fullRetryAfter.Seconds(), 'f', -1, 64)
}

// Write implements net.Conn. It has as many time limits as the peer reads parts of p. Meanwhile, the connection waits for its peer.
func (c *clientConn) Write(p []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	waited := c.place != nil // for the rest of a body
	c.unreadSince = time.Now()
	c.waitLocked()
	l.mu.Unlock()
	n, err := c.write(p)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.unreadSince = time.Time{}
	if !waited {
		c.leaveLocked()
	}
	return n, err
}

func (c *clientConn) write(p []byte) (int, error) {
	l, written := c.listener, 0
	for {
		if l.StallTimeout > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(l.StallTimeout)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return written, err
		}
		if n == 0 {
			l.ended(endedUnread, c)
			return written, err
		}
		l.mu.Lock()
		c.unreadSince = time.Now()
		c.waitLocked()
		l.mu.Unlock()
	}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	c.removeLocked()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/httpcheck"
)

// singleUseSender sends requests to plain services, whose answers bear no ID. Each request gets a new connection, which is
// closed after the response. http.Transport is not used, because it resends a request by itself when an
// idle connection turns out to be broken.
type singleUseSender struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// countingConn counts the bytes written to the connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes p to the connection and adds to the count.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// send sends req to address once and reads the response, whose body is at most limit bytes. sent is false only if
// no byte of req can have reached the target.
func (s *singleUseSender) send(ctx context.Context, address string, req *http.Request, limit int64) (a *ServiceAnswer, sent bool, err error) {
	nc, err := s.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	checked := httpcheck.NewConn(nc)
	checked.ExpectResponse()
	c := &countingConn{Conn: checked}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline) // if the connection is closed, the write below fails
	}
	req.Close = true
	if err := req.Write(c); err != nil {
		return nil, c.written.Load() > 0, fmt.Errorf("send: %w", err)
	}
	a, err = readAnswer(bufio.NewReader(c), req, limit)
	return a, true, err
}

// readAnswer reads the complete response to req and skips informational (1xx) responses.
func readAnswer(r *bufio.Reader, req *http.Request, limit int64) (*ServiceAnswer, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		return readWholeBody(resp, limit)
	}
}

// readWholeBody reads and closes the body of resp. It fails if the body exceeds limit bytes.
func readWholeBody(resp *http.Response, limit int64) (*ServiceAnswer, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer above %d bytes", limit)
	}
	return &ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// dialTimeout bounds the time to connect to a target.
const dialTimeout = 2 * time.Second

func dialWithTimeout(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, address)
	}
}

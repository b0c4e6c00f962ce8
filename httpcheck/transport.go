// Package httpcheck detects broken HTTP/1 responses that net/http takes for sound ones. It is built for servers that fail in the middle of
// a response.
package httpcheck

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// BrokenError is the error of a response that breaks the protocol. The server may have executed the request.
type BrokenError struct {
	Reason string
	// Err is the cause; nil if Reason says it all.
	Err error
}

// Error implements error.
func (e *BrokenError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("broken response: %s: %v; see the server's log", e.Reason, e.Err)
	}
	return fmt.Sprintf("broken response: %s; see the server's log", e.Reason)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Transport is an http.RoundTripper whose responses are checked.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of base, which is used by it alone from now on. Encrypted connections are not checked.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. Errors of the response and of its body wrap a *BrokenError if the response is broken.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			c.ExpectResponse()
			conn = c
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil || conn == nil {
		return resp, err
	}
	if err := conn.Broken(); err != nil {
		resp.Body.Close() // the body is unread, so this closes the connection too
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are kept.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

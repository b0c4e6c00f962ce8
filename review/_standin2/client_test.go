package standin2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client saw of one attempt. Status 0 means that the channel ended without an answer.
type answer struct {
	id         string
	sentAt     time.Time
	took       time.Duration
	status     int
	header     http.Header
	body       []byte
	err        error
	retryAfter string
}

// send makes one client attempt on a new channel.
func send(v *vm, method, host, path string, header map[string]string, body []byte, budget time.Duration) answer {
	a := answer{id: header["Request-Id"], sentAt: time.Now()}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		}}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.frontend()+path, bytes.NewReader(body))
	check(err)
	req.Host = host
	for k, val := range header {
		req.Header.Set(k, val)
	}
	resp, err := t.RoundTrip(req)
	if err == nil {
		a.status, a.header, a.retryAfter = resp.StatusCode, resp.Header, resp.Header.Get("Retry-After")
		a.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		a.status, a.err = 0, err
	}
	a.took = time.Since(a.sentAt)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.took.Milliseconds())
	}
	if a.status >= 400 {
		return fmt.Sprintf("%d after %d ms: %.150s", a.status, a.took.Milliseconds(), bytes.TrimSpace(a.body))
	}
	return fmt.Sprintf("%d after %d ms", a.status, a.took.Milliseconds())
}

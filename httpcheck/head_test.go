package httpcheck

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/internal/loopback"
)

// scanHead returns the number of bytes of the head, and why it is broken.
func scanHead(text string) (int, string) {
	s := &headScanner{}
	for i := range len(text) {
		ended, reason := s.scan(text[i])
		if reason != "" {
			return i, reason
		}
		if ended {
			return i + 1, ""
		}
	}
	return len(text), ""
}

func TestSoundHeadsAreAccepted(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 5\n\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.0 599 Some Reason: x\r\n\r\n",
		"HTTP/1.1 204 \xe4\r\n!#$%&'*+-.^_`|~09azAZ:\r\nX:y z\t\r\nX: :\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		n, reason := scanHead(head + "HTTP/1.1 000 body \r\n x: y")
		if n != len(head) || reason != "" {
			t.Errorf("%q: read %d of %d bytes, %s", head, n, len(head), reason)
		}
	}
}

// serveKept serves a kept connection, on which answer returns the bytes of the answer to each path.
func serveKept(t *testing.T, answer func(path string) string) (url string) {
	t.Helper()
	l, err := loopback.ServeConns(func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(req.URL.Path)); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return "http://" + l.Addr().String()
}

func get(t *testing.T, client *http.Client, url string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestTransportRejectsBrokenHeads sends broken heads on new connections and on kept ones, after sound answers.
func TestTransportRejectsBrokenHeads(t *testing.T) {
	sound := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nHTTP/1.1 000 a body\r\n"
	url := serveKept(t, func(path string) string {
		var i int
		if _, err := fmt.Sscanf(path, "/broken/%d", &i); err == nil {
			return faults.BrokenHeads[i].Bytes("X: y\r\n", "broken")
		}
		return sound
	})
	for i, a := range faults.BrokenHeads {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%t", a.Name, kept), func(t *testing.T) {
				is := is.New(t)
				client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
				defer client.CloseIdleConnections()
				if kept {
					for range 2 {
						body, err := get(t, client, url+"/sound")
						is.NoErr(err)
						is.True(strings.HasPrefix(sound[len(sound)-len(body):], body))
					}
				}
				_, err := get(t, client, fmt.Sprintf("%s/broken/%d", url, i))
				is.True(err != nil)
				_, err = get(t, client, url+"/sound")
				is.NoErr(err)
			})
		}
	}
}

// TestAnswerBeforeTheRequestIsBroken covers a server that does not wait for the request.
func TestAnswerBeforeTheRequestIsBroken(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{})
	l, err := loopback.ServeConns(func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		close(sent)
		_, _ = c.Read(make([]byte, 1))
	})
	is.NoErr(err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c := NewConn(raw)
	defer c.Close()
	<-sent
	_, err = c.Read(make([]byte, 100))
	is.NoErr(err)
	is.NoErr(c.Broken())
	c.ExpectResponse()
	var broken *BrokenError
	is.True(errors.As(c.Broken(), &broken))
}

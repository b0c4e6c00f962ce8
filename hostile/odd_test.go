package hostile

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestOddRequests guards against a single request that ends or stops the process: each is malformed or has values that no sound client sends.
func TestOddRequests(t *testing.T) {
	const desk = "POST /desk/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: odd\r\n"
	const withBody = "Content-Length: 1\r\n\r\nx"
	requests := []string{
		"\x00\x01\x02\xff\r\n\r\n",
		"GET\r\n\r\n",
		"GET /desk/x\r\n\r\n",
		"GET /desk/x HTTP/9.9\r\n\r\n",
		"GET /desk/x HTTP/1.0\r\n\r\n",
		"GET /desk/x HTTP/1.1\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"CONNECT desk.example:80 HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"GET http://[::1/desk/x HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"GET http://other.example/desk/x HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"GET /desk/%zz HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"GET /desk/../../v1/lots/ HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		desk + "Content-Length: -1\r\n\r\n",
		desk + "Content-Length: 99999999999999999999\r\n\r\n",
		desk + "Content-Length: 9223372036854775807\r\n\r\nx",
		desk + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		desk + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		desk + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		desk + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		desk + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
		desk + "Expect: nothing\r\n" + withBody,
		desk + "Upgrade: websocket\r\nConnection: upgrade\r\n" + withBody,
		desk + "Deadline-Ms: 9223372036854775807\r\n" + withBody,
		desk + "Deadline-Ms: 9223372036855\r\n" + withBody,
		desk + "Deadline-Ms: -5\r\n" + withBody,
		desk + "Deadline-Ms: x\r\n" + withBody,
		desk + "Last-Event-Id: 9223372036854775807\r\n" + withBody,
		desk + "Token-Count: 9223372036854775807,-1\r\nPrompt-Prefix: :,:,zz:-1,a:9223372036854775807\r\nModel: \xff\r\n" + withBody,
		desk + "Length-Hint: 9223372036854775807\r\nPin-Ms: 9223372036854775807\r\nRequest-Priority: -1\r\n" + withBody,
		desk + "Request-Id: second\r\nRequest-Id: third\r\n" + withBody,
		"POST /desk/x HTTP/1.1\r\nHost: " + host + "\r\n" + withBody,
		"POST /desk/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + strings.Repeat("i", 15<<10) + "\r\n" + withBody,
		"GET /v1/lots/x?After=9223372036854775808 HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"GET /v1/lots/x?After=-9223372036854775808 HTTP/1.1\r\nHost: " + host + "\r\nWait-Ms: 9223372036854775807\r\n\r\n",
		"GET /v1/lots/%00%ff HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"GET /v1/items/x?Id=%00 HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
		"DELETE /v1/lots/x HTTP/1.1\r\nHost: " + host + "\r\n" + withBody,
	}
	for i, body := range []string{
		``, `null`, `[]`, `"x"`, `{"Items":null}`, `{"Items":{}}`, `{"Items":[null]}`, `{"Step":1e400}`, `{"Step":"x"}`,
		`{"Step":-9223372036854775808,"MinVersion":9223372036854775807,"DesiredCount":-1,"Items":[{"Id":"a","Path":"/notes/a"}]}`,
		`{"Items":[{"Id":"a","Path":"/notes/a","Tokens":-9223372036854775808,"Headers":{"Length-Hint":"9223372036854775807","Model":"drafts"}}]}`,
		`{"Items":[{"Id":"a","Path":"/notes/a","Headers":{"Model":"drafts","X":"a\r\nSmuggled: b"}}]}`,
		`{"Items":[{"Id":"a","Path":"/notes/a","Headers":{"Model":"drafts","X Y":"b","":"c"}}]}`,
		`{"Items":[{"Id":"a\r\nSmuggled: b","Path":"/notes/a","Headers":{"Model":"drafts"}}]}`,
		`{"Items":[{"Id":"a","Path":"/notes/a b","Headers":{"Model":"drafts"}}]}`,
		`{"Items":[{"Id":"a","Path":"/notes/a","Headers":{"Model":"drafts"},"Scorer":{"Id":"s\n","Host":"a b","Path":"/desk/s"}}]}`,
		`{"Items":[{"Id":"a","Path":"/notes/a","Headers":{"Model":"drafts"},"Body":"%%%"}]}`,
	} {
		requests = append(requests, fmt.Sprintf("POST /notes/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: odd-%d\r\nContent-Length: %d\r\n\r\n%s", host, i, len(body), body))
	}
	v := startVM(t)
	for _, request := range requests {
		v.crowd(1, func(c net.Conn) {
			send(c, len(request), func(int) string { return request })
			_ = c.(*net.TCPConn).CloseWrite() // fails if the process has ended the connection
			readToEnd(t, c)
		})
		if err := v.callOrdinary(); err != nil {
			t.Errorf("an ordinary request after %.200q: %v", request, err)
		}
	}
	v.checkHealthy()
	for _, x := range v.engine.ExecutedRequests() {
		if x.Header.Get("Smuggled") != "" {
			t.Errorf("the engine got a header that no client sent: %v", x.Header)
		}
	}
}

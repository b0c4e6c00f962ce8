package faults

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/internal/loopback"
)

// BrokenAnswer is an HTTP answer that breaks the protocol, as a server in trouble sends it.
type BrokenAnswer struct {
	Name string
	// status is the status line; empty means 200. line is a line of the head that breaks the protocol.
	status, line string
	// length is the name of the field with the body's length; empty for an answer that ends with its connection.
	length string
	// missing is the number of bytes of the body that are not sent.
	missing int
}

// CutAnswer is an answer with a long body that ends early.
var CutAnswer = BrokenAnswer{Name: "cut", length: "Content-Length", missing: 8 << 20}

// BrokenHeads are answers with a head that breaks the protocol.
var BrokenHeads = slices.Concat(brokenStatusLines, brokenFields)

// brokenStatusLines are answers with a status that is none.
var brokenStatusLines = []BrokenAnswer{
	{Name: "status 000", status: "HTTP/1.1 000 Trouble", length: "Content-Length"},
	{Name: "status 000 without a length", status: "HTTP/1.1 000 Trouble"},
	{Name: "status 099", status: "HTTP/1.1 099 Trouble", length: "Content-Length"},
	{Name: "status 600", status: "HTTP/1.1 600 Trouble", length: "Content-Length"},
	{Name: "status 999", status: "HTTP/1.1 999 Trouble", length: "Content-Length"},
	{Name: "signed status", status: "HTTP/1.1 +20 Trouble", length: "Content-Length"},
	{Name: "status 101", status: "HTTP/1.1 101 Switching Protocols", length: "Content-Length"},
	{Name: "status 000 after an interim answer", status: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble", length: "Content-Length"},
}

// brokenFields are answers with a line that is no header field of its protocol version.
var brokenFields = []BrokenAnswer{
	{Name: "interim answer with a blank in a name", status: "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK", length: "Content-Length"},
	{Name: "blank after the name of the length", length: "Content-Length "},
	{Name: "blank before the name of the length", length: " Content-Length"},
	{Name: "tab after the name of the length", length: "Content-Length\t"},
	{Name: "tab before the name of the length", length: "\tContent-Length"},
	{Name: "control byte in the name of the length", length: "Content-\x01Length"},
	{Name: "blank in a name", line: "X Trouble: 1", length: "Content-Length"},
	{Name: "blank after a name", line: "X-Trouble : 1", length: "Content-Length"},
	{Name: "blank before a name", line: " X-Trouble: 1", length: "Content-Length"},
	{Name: "tab in a name", line: "X\tTrouble: 1", length: "Content-Length"},
	{Name: "tab before a name", line: "\tX-Trouble: 1", length: "Content-Length"},
	{Name: "NUL in a name", line: "X\x00Trouble: 1", length: "Content-Length"},
	{Name: "CR in a name", line: "X\rTrouble: 1", length: "Content-Length"},
	{Name: "DEL in a name", line: "X\x7fTrouble: 1", length: "Content-Length"},
	{Name: "empty name", line: ": 1", length: "Content-Length"},
	{Name: "no name", line: "Trouble", length: "Content-Length"},
	{Name: "NUL in a value", line: "X-Trouble: a\x00b", length: "Content-Length"},
	{Name: "CR in a value", line: "X-Trouble: a\rb: c", length: "Content-Length"},
	{Name: "two lengths", line: "Content-Length: 1", length: "Content-Length"},
	{Name: "signed length", line: "Content-Length: +1"},
	{Name: "unknown transfer coding", line: "Transfer-Encoding: chunked, trouble"},
	{Name: "two transfer codings", line: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"},
	{Name: "CR before the end of the head", line: "\r", length: "Content-Length"},
	{Name: "transfer coding of HTTP/1.0", status: "HTTP/1.0 200 OK", line: "Transfer-Encoding: chunked"},
}

// Bytes returns the answer with further lines of its head, each with its line end, and a body.
func (a BrokenAnswer) Bytes(fields, body string) string {
	out := a.status
	if out == "" {
		out = "HTTP/1.1 200 OK"
	}
	out += "\r\n" + fields
	if a.line != "" {
		out += a.line + "\r\n"
	}
	if a.length != "" {
		out += fmt.Sprintf("%s: %d\r\n", a.length, len(body)+a.missing)
	}
	return out + "\r\n" + body
}

// Send sends the answer to a request, whose body it reads first: unread bytes would make the close of the connection a reset.
func (a BrokenAnswer) Send(c net.Conn, req *http.Request, fields, body string) {
	if _, err := io.Copy(io.Discard, req.Body); err == nil {
		_, _ = io.WriteString(c, a.Bytes(fields, body)) // the peer may have closed
	}
}

// ServeRaw listens at an address of its own and calls serve for the first request of each connection, whose body is unread. The connection is
// closed afterwards. Closing the listener ends the accepting.
func ServeRaw(serve func(c net.Conn, req *http.Request)) (net.Listener, error) {
	return loopback.ServeConns(func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(c, req)
		}
	})
}

// resetDelay is the time in which a peer reads what it was sent before a reset.
const resetDelay = 20 * time.Millisecond

// SendAndReset sends part of an answer and resets the connection, while the peer still sends what nobody reads.
func SendAndReset(c net.Conn, part string) {
	_, _ = io.WriteString(c, part) // the peer may have closed
	time.Sleep(resetDelay)
	Reset(c)
}

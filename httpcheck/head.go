package httpcheck

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headState is the part of a head to which the next byte belongs.
type headState int

const (
	inStatusCode headState = iota // the protocol version and the status code
	inReason                      // the rest of the status line
	atLineStart
	inName
	inValue
	afterCR // after a CR that begins a line
)

// minStatusLine is the length of the shortest status line, as of "HTTP/1.1 200".
const minStatusLine = 12

// headScanner checks the head of a response, with those of interim responses before it, byte by byte as it is received.
type headScanner struct {
	state      headState
	statusLine [minStatusLine]byte
	length     int // of what is known of the status line
	interim    bool
	// oldVersion is set if the server speaks HTTP/1.0, which has no transfer codings.
	oldVersion bool
	// name is the beginning of the name of the field that is being received.
	name       [len(transferEncoding)]byte
	nameLength int
}

const transferEncoding = "transfer-encoding"

// scan checks the next byte. It reports whether the head ends with it, or why the head is broken.
func (s *headScanner) scan(b byte) (ended bool, reason string) {
	switch s.state {
	case inStatusCode:
		if s.length < minStatusLine && b != '\n' {
			s.statusLine[s.length] = b
			s.length++
			return false, ""
		}
		status, ok := parseStatusLine(string(s.statusLine[:s.length]), b)
		if !ok || !validStatus(status) {
			return false, fmt.Sprintf("its status line begins with %q", s.statusLine[:s.length])
		}
		s.interim = status < http.StatusOK
		s.oldVersion = bytes.HasPrefix(s.statusLine[:], []byte("HTTP/1.0"))
		s.state = inReason
		if b == '\n' {
			s.state = atLineStart
		}
	case inReason, inValue:
		if b == '\n' {
			s.state = atLineStart
		}
	case atLineStart:
		switch {
		case b == '\r':
			s.state = afterCR
		case b == '\n':
			return s.end(), ""
		case httpguts.IsTokenRune(rune(b)):
			s.state, s.nameLength = inName, 0
			s.addToName(b)
		default: // also a blank, as of a folded line, which is obsolete
			return false, fmt.Sprintf("a line of its head begins with %q", b)
		}
	case inName:
		switch {
		case httpguts.IsTokenRune(rune(b)):
			s.addToName(b)
		case b != ':':
			return false, fmt.Sprintf("the name of a header field has %q", b)
		case s.oldVersion && s.nameLength == len(s.name) && strings.EqualFold(string(s.name[:]), transferEncoding):
			return false, "a response of HTTP/1.0 has a transfer coding"
		default:
			s.state = inValue
		}
	case afterCR:
		if b == '\n' {
			return s.end(), ""
		}
		return false, fmt.Sprintf("a line of its head begins with a CR and %q", b)
	}
	return false, ""
}

func (s *headScanner) addToName(b byte) {
	if s.nameLength < len(s.name) {
		s.name[s.nameLength] = b
	}
	s.nameLength++
}

// end ends a head. It reports whether that was the head of the final response.
func (s *headScanner) end() bool {
	if s.interim {
		*s = headScanner{}
		return false
	}
	return true
}

// validStatus reports whether a status code exists. No request asks for another protocol, so 101 answers none.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

// CheckHead checks the status and the header fields of a final response that came in another form than that of HTTP. The error is a
// *BrokenError.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK || !validStatus(status) {
		return &BrokenError{Reason: fmt.Sprintf("its status is %d", status)}
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &BrokenError{Reason: fmt.Sprintf("a header field has the name %q", name)}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &BrokenError{Reason: fmt.Sprintf("header field %s has the value %.40q", name, v)}
			}
		}
	}
	return nil
}

// parseStatusLine returns the status code of a status line of which the first bytes and the one after them are known.
func parseStatusLine(line string, next byte) (status int, ok bool) {
	version, code, ok := strings.Cut(line, " ")
	if !ok || len(line) != minStatusLine || len(code) != 3 || version != "HTTP/1.0" && version != "HTTP/1.1" || !strings.ContainsRune(" \r\n", rune(next)) {
		return 0, false
	}
	n, err := strconv.ParseUint(code, 10, 16) // accepts no sign
	return int(n), err == nil
}

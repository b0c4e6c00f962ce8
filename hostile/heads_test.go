package hostile

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

const (
	// crowd is the number of clients that misbehave at the same time.
	crowd = 32
	// endless is how much a client sends that would never end, in bytes, if the process lets it.
	endless = 8 << 20
	// overLimit is what a client sends beyond the limit of 16 KB before it waits, in bytes. It is below what HTTP libraries take by default.
	overLimit = 900 << 10
)

const requestStart = "GET /desk/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: x\r\n"

// shortHeader returns the i-th of many header lines that are as short as they can be: names take the most memory for their size.
func shortHeader(i int) string { return fmt.Sprintf("%x:\r\n", i) }

// TestHeadsWithoutEnd guards against a process that keeps what a client sends before the end of a request's head.
func TestHeadsWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name, start string
		piece       func(i int) string
	}{
		{"short header lines", requestStart, shortHeader},
		{"one header line", requestStart + "X: ", func(int) string { return "xxxxxxxxxxxxxxxx" }},
		{"one continued header", requestStart + "X: x\r\n", func(int) string { return " x\r\n" }},
		{"request line", "GET /desk/", func(int) string { return "xxxxxxxxxxxxxxxx" }},
		{"no line at all", "", func(int) string { return "xxxxxxxxxxxxxxxx" }},
		{"empty lines", "", func(int) string { return "\r\n" }},
		{"bare line feeds", "", func(int) string { return "\n" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t)
			v.crowd(crowd, func(conn net.Conn) {
				send(conn, endless, func(i int) string {
					if i == 0 {
						return c.start + c.piece(0)
					}
					return c.piece(i)
				})
				readToEnd(t, conn)
			})
			v.checkHealthy()
		})
	}
}

// TestEmptyLinesAfterAnAnswer guards against empty lines without end where the next request of a kept connection is due.
func TestEmptyLinesAfterAnAnswer(t *testing.T) {
	v := startVM(t)
	v.crowd(crowd, func(c net.Conn) {
		if err := v.exchange(c, http.StatusOK); err != nil {
			t.Log(err) // refusing one of the crowd is allowed
		}
		send(c, endless, func(int) string { return "\r\n" })
		readToEnd(t, c)
	})
	v.checkHealthy()
}

// TestUnfinishedHeadsOverTheLimit guards against a process that keeps heads over the limit for as long as their clients wait.
func TestUnfinishedHeadsOverTheLimit(t *testing.T) {
	v := startVM(t)
	v.crowd(crowd, func(c net.Conn) {
		send(c, overLimit, func(i int) string {
			if i == 0 {
				return requestStart
			}
			return shortHeader(i)
		})
		readToEnd(t, c)
	})
	v.checkHealthy()
}

// TestWholeHeadsOverTheLimit guards against a process that parses heads over the limit before it refuses them.
func TestWholeHeadsOverTheLimit(t *testing.T) {
	v := startVM(t)
	var head strings.Builder
	head.WriteString(requestStart)
	for i := 0; head.Len() < overLimit; i++ {
		head.WriteString(shortHeader(i))
	}
	head.WriteString("\r\n")
	v.crowd(crowd, func(c net.Conn) {
		send(c, head.Len(), func(int) string { return head.String() })
		readToEnd(t, c)
	})
	v.checkHealthy()
}

// TestManyHeadsWithinTheLimit guards against a process that holds the heads of all its requests at once, each of them within the limit but
// all header lines as short as they can be, while their targets are busy.
func TestManyHeadsWithinTheLimit(t *testing.T) {
	v := startVM(t)
	var head strings.Builder
	head.WriteString("GET /desk/x HTTP/1.1\r\nHost: " + host + "\r\nDeadline-Ms: 3000\r\n")
	for i := 0; head.Len() < 15<<10; i++ {
		head.WriteString(shortHeader(i))
	}
	v.crowd(maxDescriptors, func(c net.Conn) {
		send(c, 1, func(int) string { return head.String() })
	})
	if err := v.callOrdinary(); err != nil {
		t.Errorf("an ordinary request beside unfinished heads: %v", err)
	}
	v.crowd(maxDescriptors, func(c net.Conn) {
		send(c, 1, func(int) string { return head.String() + "Connection: close\r\n\r\n" })
		readToEnd(t, c)
	})
	v.checkHealthy()
}

// TestHeadAtTheLimitIsServed guards against limits on heads that a client within the configuration's limits meets.
func TestHeadAtTheLimitIsServed(t *testing.T) {
	for _, c := range []struct {
		name   string
		header func(i int) string
	}{
		{"short header lines", shortHeader},
		{"long header lines", func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("x", 1000)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t)
			var head strings.Builder
			head.WriteString("GET /desk/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: at-limit\r\nDeadline-Ms: 3000\r\nConnection: close\r\n")
			for i := 0; head.Len()+len(c.header(i))+len("\r\n") <= 16<<10; i++ {
				head.WriteString(c.header(i))
			}
			head.WriteString("\r\n")
			v.crowd(1, func(conn net.Conn) {
				send(conn, head.Len(), func(int) string { return head.String() })
				if status := readStatus(t, conn); status != http.StatusOK {
					t.Errorf("status %d, want 200", status)
				}
			})
			v.checkHealthy()
		})
	}
}

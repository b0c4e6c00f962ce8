// Package standin2 holds the stand-ins of the platform, servers and clients for the scripts of this review. Its argument names a case.
package standin2

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// startedAt is the zero of the times in the record.
var startedAt = time.Now()

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		endProcesses()
		os.Exit(exitNotRun)
	}
}

var ipCount atomic.Int64

// loopbackIP returns a loopback address that this run uses for one thing only.
func loopbackIP() string {
	n := ipCount.Add(1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, 1+(pid/200)%250, 1+n%250)
}

// record is the file with what was sent, answered and run.
type record struct {
	mu sync.Mutex
	f  *os.File
	w  *bufio.Writer
}

var rec record

func openRecord(dir string) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	rec.f, rec.w = f, bufio.NewWriter(f)
}

// note writes one line with the time since the start.
func note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.w, "%8.3f ", time.Since(startedAt).Seconds())
	fmt.Fprintf(rec.w, format+"\n", args...)
}

func closeRecord() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.w.Flush()
	rec.f.Close()
}

// since returns the time of the record's zero until t.
func since(t time.Time) float64 { return t.Sub(startedAt).Seconds() }

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
	c.Close()
}

var nextID atomic.Int64

// newID returns the ID of a request, an item or a batch.
func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), nextID.Add(1)) }

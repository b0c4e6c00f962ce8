package memory

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

func noProgress() {}

// TestLargeBodiesAreRefusedBeforeTheyAreRead guards against a VM that is killed at its memory limit by bodies that arrive together.
func TestLargeBodiesAreRefusedBeforeTheyAreRead(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10 << 20)
	var holds []*Hold
	for range 3 {
		h := b.Hold()
		data, err := h.Read(bytes.NewReader(make([]byte, 3<<20)), 3<<20, 1, noProgress)
		is.NoErr(err)
		is.Equal(len(data), 3<<20)
		holds = append(holds, h)
	}
	unread := iotest.ErrReader(errors.New("the body must not be read"))
	_, err := b.Hold().Read(unread, 3<<20, 1, noProgress)
	is.True(errors.Is(err, ErrFull))
	small, err := b.Hold().Read(strings.NewReader("small"), 5, 1, noProgress) // small requests are still served
	is.NoErr(err)
	is.Equal(string(small), "small")
	holds[0].Release()
	_, err = b.Hold().Read(bytes.NewReader(make([]byte, 3<<20)), 3<<20, 1, noProgress)
	is.NoErr(err)
	is.Equal(b.State().Refused, int64(1))
}

// TestBodiesWithoutLengthAreBounded covers chunked bodies, which are reserved while they are read.
func TestBodiesWithoutLengthAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	h := b.Hold()
	data, err := h.Read(iotest.HalfReader(strings.NewReader(strings.Repeat("x", 300_000))), -1, 1, noProgress)
	is.NoErr(err)
	is.Equal(len(data), 300_000)
	is.True(b.State().Held >= 300_000)
	endless := b.Hold()
	_, err = endless.Read(zeros{}, -1, 1, noProgress)
	is.True(errors.Is(err, ErrFull))
	endless.Release()
	h.Release()
	is.Equal(b.State().Held, int64(0)) // nothing stays reserved
	_, err = b.Hold().Read(strings.NewReader("short"), 10, 1, noProgress)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestSlowReadersAreKeptAndStalledOnesEnded guards against slow but sound callers that are cut, and callers that read nothing and hold their
// answers for good.
func TestSlowReadersAreKeptAndStalledOnesEnded(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	stalled := make(chan string, 1)
	l := &Listener{Listener: inner, StallTimeout: 300 * time.Millisecond, Stalled: func(peer string) { stalled <- peer }}
	defer l.Close()
	answer := make([]byte, 8<<20)
	write := func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer c.Close()
		_, err = c.Write(answer)
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		is.NoErr(c.(*net.TCPConn).SetReadBuffer(32 << 10))
		return c
	}
	result := make(chan error, 1)

	slow := dial()
	defer slow.Close()
	go func() { result <- write() }()
	buf, got := make([]byte, 512<<10), 0
	for start := time.Now(); got < len(answer); {
		n, err := slow.Read(buf)
		is.NoErr(err) // the connection of a slow reader ends
		got += n
		if time.Since(start) < 900*time.Millisecond {
			time.Sleep(60 * time.Millisecond) // it takes several times StallTimeout
		}
	}
	is.NoErr(<-result)

	silent := dial()
	defer silent.Close()
	go func() { result <- write() }()
	is.True(<-result != nil)
	is.Equal(<-stalled, silent.LocalAddr().String())
}

// TestPartLeavesTheRestOfItsBudget guards against one kind of use that takes up the whole budget.
func TestPartLeavesTheRestOfItsBudget(t *testing.T) {
	is := is.New(t)
	whole := NewBudget(100)
	part := whole.Part(60)
	h, other := part.Hold(), whole.Hold()
	is.NoErr(h.Add(50))
	is.True(errors.Is(part.Hold().Add(20), ErrFull)) // beyond the part
	is.NoErr(other.Add(50))
	is.True(errors.Is(part.Hold().Add(5), ErrFull)) // beyond the whole
	is.Equal(part.State().Held, int64(50))
	h.Shrink(10)
	is.Equal(whole.State().Held, int64(60))
	h.Release()
	other.Release()
	is.Equal(whole.State().Held+part.State().Held, int64(0))
}

// TestSmallRequestsFitBesideLargeOnes guards against large bodies that keep out all other requests.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8 << 20)
	for n := int64(8 << 20); n > 0; n /= 2 {
		_ = b.Hold().Add(n) // the larger ones do not fit
		_ = b.Hold().Add(n)
	}
	is.NoErr(b.Hold().Add(smallBytes / 2))
}

// TestBodiesThatComeTooSlowlyGiveWay guards against clients that announce bodies and send little of them, which keeps out others for as long as they go on.
func TestBodiesThatComeTooSlowlyGiveWay(t *testing.T) {
	const size = 600 << 10
	is := is.New(t)
	b := NewBudget(1 << 20)
	read := func(body io.Reader, interrupt func()) chan error {
		done := make(chan error, 1)
		go func() {
			h := b.Hold()
			defer h.Release()
			h.Interrupt = interrupt
			_, err := h.Read(body, size, 1, noProgress)
			done <- err
		}()
		return done
	}
	// pipe returns the two ends of a body and a function that interrupts its reading.
	pipe := func() (*io.PipeReader, *io.PipeWriter, func()) {
		r, w := io.Pipe()
		return r, w, func() { w.CloseWithError(errors.New("interrupted")) }
	}
	r, w, interrupt := pipe()
	slow := read(r, interrupt)
	_, err := w.Write(make([]byte, 1000))
	is.NoErr(err)
	_, err = b.Hold().Read(bytes.NewReader(make([]byte, size)), size, 1, noProgress)
	is.True(errors.Is(err, ErrFull)) // it may have been slow for a moment
	time.Sleep(minReadTime)
	next := b.Hold()
	_, err = next.Read(bytes.NewReader(make([]byte, size)), size, 1, noProgress)
	is.NoErr(err)
	is.True(errors.Is(<-slow, ErrFull))
	next.Release()

	r, w, interrupt = pipe()
	sound := read(r, interrupt)
	_, err = w.Write(make([]byte, size/2))
	is.NoErr(err)
	time.Sleep(minReadTime)
	_, err = b.Hold().Read(bytes.NewReader(make([]byte, size)), size, 1, noProgress)
	is.True(errors.Is(err, ErrFull)) // the other is at a pace that a caller may wait for
	_, err = w.Write(make([]byte, size/2))
	is.NoErr(err)
	is.NoErr(<-sound)
	is.Equal(b.State().Held, int64(0))
}

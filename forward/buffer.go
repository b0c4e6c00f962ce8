package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ibistrail/ibistrail/targets"
)

// Limits of answers that are read before they are forwarded, in bytes.
const (
	// maxBufferedBytes is the size of the largest answer that is read completely before it is forwarded.
	maxBufferedBytes = 4 << 20
	// smallBodyBytes is the part of each answer that is read in any case.
	smallBodyBytes = 64 << 10
	// maxLargeBodyBytes limits what all answers together have beyond smallBodyBytes until callers have read them: a faulty target may send
	// without end, and callers may read nothing.
	maxLargeBodyBytes = 16 << 20
)

// errBodyTooLong is wrapped by the errors of answers that exceed a limit.
var errBodyTooLong = errors.New("the answer is too long to be read before it is forwarded")

// bodyBuffer reads answers into memory within maxLargeBodyBytes. It is safe for concurrent use.
type bodyBuffer struct {
	large atomic.Int64 // bytes beyond smallBodyBytes of the answers that are read or held
}

// reserve takes the memory of an answer of length bytes, which read gives back, and reports whether it did. Answers of unknown length, which is
// negative, take theirs while they are read.
func (b *bodyBuffer) reserve(length int64) bool {
	if length <= smallBodyBytes {
		return true
	}
	if b.large.Add(length) > maxLargeBodyBytes {
		b.large.Add(-length)
		return false
	}
	return true
}

// read reads the body of a reserved answer into memory, so that a truncated answer is detected before any of it is forwarded. The memory counts
// until the new body is closed.
func (b *bodyBuffer) read(answer *targets.Response) error {
	defer answer.Body.Close()
	var data bytes.Buffer
	if answer.Length > 0 {
		data.Grow(int(min(answer.Length, smallBodyBytes)) + bytes.MinRead)
	}
	known := answer.Length > smallBodyBytes
	var reserved int64
	if known {
		reserved = answer.Length
	}
	whole := false
	defer func() {
		if !whole {
			b.large.Add(-reserved)
		}
	}()
	for {
		n, err := data.ReadFrom(io.LimitReader(answer.Body, smallBodyBytes))
		if err != nil {
			return err
		}
		if n < smallBodyBytes {
			break
		}
		if known {
			continue
		}
		if data.Len() > maxBufferedBytes {
			return fmt.Errorf("%w: over %d bytes and no length", errBodyTooLong, maxBufferedBytes)
		}
		reserved += smallBodyBytes
		if b.large.Add(smallBodyBytes) > maxLargeBodyBytes {
			return fmt.Errorf("%w: other long answers are being read", errBodyTooLong)
		}
	}
	whole = true
	answer.Body = &heldBody{Reader: bytes.NewReader(data.Bytes()), release: sync.OnceFunc(func() { b.large.Add(-reserved) })}
	answer.Length = int64(data.Len())
	return nil
}

// discardBody reads the body of an answer to its end and drops it, so that a truncated answer is detected. An answer of unknown length may have
// maxBufferedBytes.
func discardBody(answer *targets.Response) error {
	defer answer.Body.Close()
	body := io.Reader(answer.Body)
	if answer.Length < 0 {
		body = io.LimitReader(body, maxBufferedBytes+1)
	}
	n, err := io.Copy(io.Discard, body)
	switch {
	case err != nil:
		return err
	case answer.Length < 0 && n > maxBufferedBytes:
		return fmt.Errorf("%w: over %d bytes and no length", errBodyTooLong, maxBufferedBytes)
	case answer.Length >= 0 && n != answer.Length:
		return fmt.Errorf("%d of %d bytes of the answer came: %w", n, answer.Length, io.ErrUnexpectedEOF)
	}
	answer.Body, answer.Length = http.NoBody, 0
	return nil
}

// heldBody is an answer in memory.
type heldBody struct {
	io.Reader
	release func()
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.release()
	return nil
}

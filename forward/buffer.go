package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/ibistrail/ibistrail/targets"
)

// Limits of answers that are read before they are forwarded, in bytes.
const (
	// maxBufferedBytes is the size of the largest answer that is read completely before it is forwarded.
	maxBufferedBytes = 4 << 20
	// smallBodyBytes is the part of each answer that is read in any case.
	smallBodyBytes = 64 << 10
	// maxLargeBodyBytes limits what all answers being read together have beyond smallBodyBytes: a faulty target may send without end.
	maxLargeBodyBytes = 16 << 20
)

// errBodyTooLong is wrapped by the errors of answers that exceed a limit.
var errBodyTooLong = errors.New("the answer is too long to be read before it is forwarded")

// bodyBuffer reads answers into memory within maxLargeBodyBytes. It is safe for concurrent use.
type bodyBuffer struct {
	large atomic.Int64 // bytes beyond smallBodyBytes of the answers being read
}

// read reads the body into memory, so that a truncated answer is detected before any of it is forwarded.
func (b *bodyBuffer) read(answer *targets.Response) error {
	defer answer.Body.Close()
	var data bytes.Buffer
	if answer.Length > 0 {
		data.Grow(int(min(answer.Length, smallBodyBytes)) + bytes.MinRead)
	}
	var reserved int64
	defer func() { b.large.Add(-reserved) }()
	for {
		n, err := data.ReadFrom(io.LimitReader(answer.Body, smallBodyBytes))
		if err != nil {
			return err
		}
		if n < smallBodyBytes {
			break
		}
		if data.Len() > maxBufferedBytes {
			return fmt.Errorf("%w: over %d bytes and no length", errBodyTooLong, maxBufferedBytes)
		}
		reserved += smallBodyBytes
		if b.large.Add(smallBodyBytes) > maxLargeBodyBytes {
			return fmt.Errorf("%w: other long answers are being read", errBodyTooLong)
		}
	}
	answer.Body, answer.Length = io.NopCloser(bytes.NewReader(data.Bytes())), int64(data.Len())
	return nil
}

package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Bounds of a stream of server-sent events.
const (
	maxEventBytes  = 1 << 20
	sseBufferBytes = 4 << 10
)

var (
	// errEventTooLong ends a stream whose event exceeds maxEventBytes.
	errEventTooLong = fmt.Errorf("event above %d bytes", maxEventBytes)
	dataPrefix      = []byte("data:")
	endMarker       = []byte("[DONE]")
)

// eventReader reads the data fields of server-sent events.
type eventReader struct {
	r    *bufio.Reader
	data []byte
	line []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, sseBufferBytes)}
}

// next returns the data of the next event; it is valid until the next call. io.EOF means that the
// stream ended between events.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			if hasData && errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		payload, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		payload = bytes.TrimPrefix(payload, []byte(" "))
		if hasData {
			e.data = append(e.data, '\n')
		}
		if len(e.data)+len(payload) > maxEventBytes {
			return nil, errEventTooLong
		}
		e.data = append(e.data, payload...)
		hasData = true
	}
}

// readLine returns a line without its line ending. A last line without one is an io.ErrUnexpectedEOF.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.line)+len(part) > maxEventBytes {
			return nil, errEventTooLong
		}
		e.line = append(e.line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.line) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(e.line, []byte("\n")), []byte("\r")), nil
	}
}

package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// codec prefixes each message with its length as a varint, as jsonrpc2.VarintObjectCodec does. Unlike that, it limits
// the size of the messages that it reads, and rejects a frame with bytes after its message.
type codec struct {
	jsonrpc2.VarintObjectCodec
	// limit is the maximum size of a message that is read, in bytes.
	limit *atomic.Int64
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if limit := c.limit.Load(); size > uint64(limit) {
		return fmt.Errorf("rpc: message of %d bytes, above %d; send less at a time", size, limit)
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(size))) // allocates as data arrives, not the announced size
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

// newStream returns a message stream on c that reads messages of up to limit bytes.
func newStream(c net.Conn, limit *atomic.Int64) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(&writeTimeoutConn{Conn: c}, codec{limit: limit})
}

// discardLogs disables the logging of jsonrpc2, which a peer could flood with responses to unknown requests.
func discardLogs() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

// writeTimeoutConn sets WriteTimeout for each write, so that a peer that does not read cannot block the writer.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

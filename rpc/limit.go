package rpc

import (
	"encoding/binary"
	"fmt"
	"net"
)

// limitedConn ends a connection whose peer announces a message longer than MaxMessageBytes. It
// follows the varint framing of jsonrpc2.VarintObjectCodec without keeping bytes.
type limitedConn struct {
	net.Conn
	head []byte // bytes of an incomplete length
	body uint64 // bytes left of the current message
}

func newLimitedConn(c net.Conn) *limitedConn { return &limitedConn{Conn: c} }

// Read reads from the connection and checks the announced lengths.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if lerr := c.scan(p[:n]); lerr != nil {
		return 0, lerr
	}
	return n, err
}

func (c *limitedConn) scan(p []byte) error {
	for len(p) > 0 {
		if c.body > 0 {
			k := min(c.body, uint64(len(p)))
			p, c.body = p[k:], c.body-k
			continue
		}
		c.head = append(c.head, p[0])
		p = p[1:]
		size, n := binary.Uvarint(c.head)
		if n == 0 && len(c.head) < binary.MaxVarintLen64 {
			continue
		}
		if n <= 0 || size > MaxMessageBytes {
			return fmt.Errorf("rpc: message above %d bytes; send less at a time", MaxMessageBytes)
		}
		c.body, c.head = size, c.head[:0]
	}
	return nil
}

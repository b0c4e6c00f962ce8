package process

import (
	"errors"
	"net"
)

// DialFailed reports whether a call failed because no connection could be opened, so that no byte of it was sent.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package httpcheck

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receivedEnd reports whether the peer is known to have closed its end in order: a connection that was reset is in no TCP state but CLOSE.
func receivedEnd(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = infoErr == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return err == nil && open
}

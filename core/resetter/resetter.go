// Package resetter ends connections so that nothing arrives that was given up. A close in order leaves what was written
// in the kernel, which goes on sending it: through a cut that ends seconds later, a request would still run.
package resetter

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes that were written to a connection the other machine has not acknowledged; false
// if the connection or the system doesn't tell.
func Unacknowledged(c net.Conn) (int, bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	count, failure := 0, error(nil)
	err = raw.Control(func(fd uintptr) { count, failure = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return count, err == nil && failure == nil
}

// Reset closes a connection and drops what the other machine has not acknowledged.
func Reset(c net.Conn) error {
	if socket, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	return c.Close()
}

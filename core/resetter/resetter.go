// Package resetter ends connections on which something was given up.
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

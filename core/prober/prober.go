// Package prober asks the kernel what it knows of a connection.
package prober

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes that were written to a connection the other machine has not acknowledged; false
// if the connection or the system doesn't tell.
func Unacknowledged(c net.Conn) (int, bool) {
	count, failure := 0, error(nil)
	ok := control(c, func(fd int) { count, failure = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return count, ok && failure == nil
}

// Idle reports whether a connection is still open and has nothing to read. A target that closed an idle connection would
// reset the next request; bytes that nobody asked for would be taken for its answer.
func Idle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// Closed reports whether the other end has closed or reset a connection, and nothing is left to read before that.
func Closed(c net.Conn) bool {
	count, err := peek(c)
	return count == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
}

// peek looks at the next byte without taking it. An error is a syscall.Errno as it comes.
func peek(c net.Conn) (int, error) {
	count, failure := 0, error(nil)
	ok := control(c, func(fd int) {
		var one [1]byte
		count, _, failure = unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if !ok {
		return 0, unix.ENOTSOCK
	}
	return count, failure
}

// control calls a function with a connection's descriptor; false if it has none.
func control(c net.Conn, call func(fd int)) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { call(int(fd)) }) == nil
}

// Package prober queries the kernel for the state of a connection.
package prober

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// discardBuffer is how many bytes Discard reads at a time.
const discardBuffer = 16 << 10

// Unacknowledged returns how many of the bytes written to a connection the other end has not acknowledged. The
// second result is false if the connection is not a socket or the system does not report it.
func Unacknowledged(c net.Conn) (int, bool) {
	count, failure := 0, error(nil)
	ok := control(c, func(fd int) { count, failure = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return count, ok && failure == nil
}

// Unread returns how many bytes have arrived on a connection and were not read. The second result is false if the
// connection is not a socket or the system does not report it.
func Unread(c net.Conn) (int, bool) {
	count, failure := 0, error(nil)
	ok := control(c, func(fd int) { count, failure = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return count, ok && failure == nil
}

// Idle reports whether a connection is open and has nothing to read. If a target has closed an idle connection, the
// next request on it would be reset; unexpected bytes would be taken for the response to the next request.
func Idle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// Closed reports whether the other end has closed or reset a connection and no data is left to read before the end.
func Closed(c net.Conn) bool {
	count, err := peek(c)
	return count == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
}

// Discard reads and discards what has arrived on a connection, up to a number of bytes. It does not wait for more.
func Discard(c net.Conn, limit int) {
	buffer := make([]byte, min(limit, discardBuffer))
	control(c, func(fd int) {
		for limit > 0 {
			n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			limit -= n
		}
	})
}

// AwaitEnd waits until the other end has closed its side of a connection, whatever has arrived before that and was not
// read. It returns unix.ECONNRESET if the other end has reset the connection, and an error if the read deadline passes
// first, if the connection is closed, or if the system does not tell.
func AwaitEnd(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return unix.ENOTSOCK
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var ended bool
	var failure error
	err = raw.Read(func(fd uintptr) bool {
		ended, failure = hasEnded(int(fd))
		return ended || failure != nil
	})
	return errors.Join(err, failure)
}

// hasEnded reports whether the other end has closed its side of a connection.
func hasEnded(fd int) (bool, error) {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(poll, 0)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return false, err
		case poll[0].Revents&unix.POLLERR != 0:
			return false, unix.ECONNRESET
		}
		return poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0, nil
	}
}

// peek reads the next byte without consuming or waiting for it. Errors of the system call are returned unwrapped, as
// syscall.Errno.
func peek(c net.Conn) (int, error) {
	count, failure := 0, error(nil)
	ok := control(c, func(fd int) {
		var buffer [1]byte
		count, _, failure = unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if !ok {
		return 0, unix.ENOTSOCK
	}
	return count, failure
}

// control calls a function with a connection's file descriptor; it returns false if there is none.
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

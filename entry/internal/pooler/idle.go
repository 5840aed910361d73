package pooler

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// keepAlive is how long a connection may stay idle after an answer: less than the target says it keeps it open, for
// a request that crosses the target's close can't be repeated if it may run only once.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return min(idleLife, time.Duration(seconds)*time.Second/2)
		}
	}
	return idleLife
}

// quiet reports whether an idle connection is still open and has nothing to read. A target that closed it would
// reset the request; bytes that nobody asked for would be taken for its answer.
func quiet(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ok = false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && ok
}

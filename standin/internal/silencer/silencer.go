// Package silencer makes open connections between local processes go silent: they stay open at both ends, and all that
// arrives on them is dropped, while new connections work.
package silencer

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// Silence makes the open TCP connections of a process go silent at its end, as far as match returns true for the
// addresses of both ends. It returns their number. For connections that are silent in both directions, call it for the
// processes at both ends. The caller needs the permission to trace the process.
func Silence(pid int, match func(local, remote netip.AddrPort) bool) (int, error) {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return 0, &ProcessError{PID: pid, Call: "pidfd_open", Cause: err}
	}
	defer func() { _ = unix.Close(process) }()
	files, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0, &ProcessError{PID: pid, Call: "list of files", Cause: err}
	}
	count := 0
	for _, f := range files {
		number, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		silenced, err := silenceFile(process, number, match)
		if err != nil {
			return count, &ProcessError{PID: pid, Call: "silence", Cause: err}
		}
		if silenced {
			count++
		}
	}
	return count, nil
}

// silenceFile silences a file of a process if it is a connection that matches. A file that was closed meanwhile does not
// match.
func silenceFile(process, number int, match func(local, remote netip.AddrPort) bool) (bool, error) {
	file, err := unix.PidfdGetfd(process, number, 0)
	if errors.Is(err, unix.EBADF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = unix.Close(file) }()
	local, err := unix.Getsockname(file)
	if err != nil {
		return false, nil //nolint:nilerr // not a socket
	}
	remote, err := unix.Getpeername(file)
	if err != nil {
		return false, nil //nolint:nilerr // not connected
	}
	localAddress, isTCP := addrPort(local)
	remoteAddress, _ := addrPort(remote)
	if !isTCP || !match(localAddress, remoteAddress) {
		return false, nil
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	return true, unix.SetsockoptSockFprog(file, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
}

// addrPort returns the address of an Internet socket, and false for other sockets.
func addrPort(address unix.Sockaddr) (netip.AddrPort, bool) {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), true
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), true
	}
	return netip.AddrPort{}, false
}

// ProcessError reports that the connections of a process could not be silenced.
type ProcessError struct {
	PID   int
	Call  string
	Cause error
}

// Error implements error.
func (e *ProcessError) Error() string {
	return fmt.Sprintf("connections of process %d: %s: %v", e.PID, e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

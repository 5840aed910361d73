// Package silencer makes open connections between local processes go silent: they stay open at both ends, and all that
// arrives on them is dropped, while new connections work. It also lists a process's open connections.
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
	count := 0
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	err := each(pid, func(file int, local, remote netip.AddrPort) error {
		if !match(local, remote) {
			return nil
		}
		count++
		return unix.SetsockoptSockFprog(file, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
	})
	return count, err
}

// Open returns the addresses of the other ends of a process's TCP connections whose own end is at local. Connections that
// the process has closed are not among them, even if the kernel still holds them.
func Open(pid int, local netip.AddrPort) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	err := each(pid, func(_ int, at, remote netip.AddrPort) error {
		if at == local {
			out = append(out, remote)
		}
		return nil
	})
	return out, err
}

// each calls visit with a copy of each descriptor of a process that is a TCP connection.
func each(pid int, visit func(file int, local, remote netip.AddrPort) error) error {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return &ProcessError{PID: pid, Call: "pidfd_open", Cause: err}
	}
	defer func() { _ = unix.Close(process) }()
	files, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return &ProcessError{PID: pid, Call: "list of files", Cause: err}
	}
	for _, f := range files {
		number, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		if err := visitFile(process, number, visit); err != nil {
			return &ProcessError{PID: pid, Call: "visit", Cause: err}
		}
	}
	return nil
}

// visitFile calls visit if a file of a process is a TCP connection. A file that was closed meanwhile is none.
func visitFile(process, number int, visit func(file int, local, remote netip.AddrPort) error) error {
	file, err := unix.PidfdGetfd(process, number, 0)
	if errors.Is(err, unix.EBADF) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = unix.Close(file) }()
	local, err := unix.Getsockname(file)
	if err != nil {
		return nil //nolint:nilerr // not a socket
	}
	remote, err := unix.Getpeername(file)
	if err != nil {
		return nil //nolint:nilerr // not connected
	}
	localAddress, isTCP := addrPort(local)
	remoteAddress, _ := addrPort(remote)
	if !isTCP {
		return nil
	}
	return visit(file, localAddress, remoteAddress)
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

// ProcessError reports that the connections of a process could not be listed or silenced.
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

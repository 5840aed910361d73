// Package pipeliner is an HTTP/1.1 client for tests. On one connection it sends requests before the former ones are
// answered, and it can read slowly, so that bytes in both directions are under way when a server closes the connection.
package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pipeliner opens connections. Set the exported fields before use.
type Pipeliner struct {
	// ReceiveBuffer is the size of a connection's receive buffer in bytes; zero leaves the system's default. With a small
	// one, most of a large answer waits in the server's kernel until it is read here.
	ReceiveBuffer int
	// Pause is how long a connection waits between the head of an answer and its body.
	Pause time.Duration
}

// Dial opens a connection.
func (p *Pipeliner) Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{}
	if p.ReceiveBuffer > 0 {
		dialer.Control = p.setReceiveBuffer
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return p.Wrap(raw), nil
}

// Wrap returns a connection on one that is already open, such as one with TLS.
func (p *Pipeliner) Wrap(raw net.Conn) *Conn {
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readSize), pause: p.Pause}
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (netip.AddrPort, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = socket.Close() }()
	return netip.ParseAddrPort(socket.Addr().String())
}

// readSize is the number of bytes read at once. It is small, so that a pause keeps an answer in the kernel.
const readSize = 512

func (p *Pipeliner) setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, p.ReceiveBuffer)
	})
	return errors.Join(err, failure)
}

// Conn is a connection to a server. One goroutine may send while another receives.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	pause  time.Duration
}

// Answer is an answer whose head was received.
type Answer struct {
	Status int
	Header http.Header
	// Last is set if the answer says that the server closes the connection.
	Last bool
	// Body is what was received of the body.
	Body []byte
}

// Get sends a request without a body. Header lines end with CRLF.
func (c *Conn) Get(path, header string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n", path, header)
	return err
}

// Post sends the head of a request and a body, of which the stated length may be more than is sent.
func (c *Conn) Post(path, header string, length int, body []byte) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\n%sContent-Length: %d\r\n\r\n", path, header, length)
	if err != nil {
		return err
	}
	_, err = c.Write(body)
	return err
}

// Receive reads the next answer. If it is incomplete, it returns what was received of it together with the error; the
// answer is nil if its head is not complete.
func (c *Conn) Receive() (*Answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	time.Sleep(c.pause)
	body, err := io.ReadAll(response.Body)
	return &Answer{response.StatusCode, response.Header, response.Close, body}, err
}

// Drop drops all packets that arrive on the connection, or no longer drops them. Meanwhile what the server sends is not
// delivered, as on a path that loses packets: its kernel keeps the bytes and sends them again after 0.2 s, 0.6 s and 1.4 s.
func (c *Conn) Drop(on bool) error { return DropPackets(c.Conn, on) }

// DropPackets drops all packets that arrive on a connection, or no longer drops them. The error is a *SocketError if the
// connection is not a socket.
func DropPackets(c net.Conn, on bool) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return &SocketError{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = setFilter(int(fd), on) })
	return errors.Join(err, failure)
}

// setFilter attaches a filter to a socket that no packet passes, or detaches it.
func setFilter(fd int, on bool) error {
	if !on {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}

// SocketError reports that a connection is not a socket.
type SocketError struct{}

// Error implements error.
func (*SocketError) Error() string { return "connection is not a socket" }

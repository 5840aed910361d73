package closer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// twoHeads are two requests that arrive together, and head is the length of the first.
const (
	twoHeads = "GET /0 HTTP/1.1\r\n\r\nGET /1 HTTP/1.1\r\n\r\n"
	head     = len(twoHeads) / 2
)

// handleFirst handles the first of two requests that arrived together, and leaves the connection idle.
func handleFirst(t *testing.T, local *Conn, remote io.Writer) {
	t.Helper()
	is := is.New(t)
	local.SetIdle(true)
	_, err := io.WriteString(remote, twoHeads)
	is.NoErr(err)
	n, err := local.Read(make([]byte, len(twoHeads)))
	is.NoErr(err)
	is.Equal(n, head)
	local.SetIdle(false)
	is.True(local.BeginRequest(0))
	write(t, local, 1)
	local.EndRequest()
	local.SetIdle(true)
}

// Guards against a stop that closes a connection between the moment when the server gets a request that was read ahead and
// its handling: the server still takes the connection for idle, and the request ends without an answer.
func TestCloseLeavesConnectionsWithARequestBehindOpen(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	local, remote := connect(t, s)
	handleFirst(t, local, remote)
	n, err := local.Read(make([]byte, len(twoHeads)))
	is.NoErr(err)
	is.Equal(n, head)
	is.Equal(s.CloseIdle(true), 1)
	is.True(local.BeginRequest(0))
}

// Guards against an answer that the end of a planned stop discards because a later request is unread, though the kernel
// would have delivered it: its caller sends nothing more.
func TestStopLeavesTheKernelToDeliverAnswers(t *testing.T) {
	is := is.New(t)
	s := listen(t)
	local, remote := connect(t, s)
	is.True(local.BeginRequest(0))
	write(t, local, answer)
	local.EndRequest()
	is.NoErr(local.Close())
	write(t, remote, 100)
	ctx, cancel := context.WithTimeout(t.Context(), Timeout/4)
	defer cancel()
	is.NoErr(s.Closer.Stop(ctx))
	time.Sleep(settleTime)
	readAll(t, remote, answer)
}

package forwarder

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/granter"
	"chervilrail.example/core/wire"
)

// An upload needs more than the link's share. It must slow down and arrive whole; cut off, the organiser
// would have to start again, over and over.
func TestUploadPastTheShareArrivesWhole(t *testing.T) {
	is := is.New(t)
	const share = 96 << 10
	h := &granter.Holder{}
	h.SetResources(time.Now(), []string{"link:a:b", "link:b:a"})
	sequence, _ := h.Request(time.Now())
	is.True(h.Accept(time.Now(), sequence, time.Minute, []*wire.Grant{{Resource: "link:a:b", Share: share}}))
	near, far := net.Pipe()
	c := &pacedConn{Conn: near, holder: h, out: "link:a:b", in: "link:b:a", bulk: true}
	sent := bytes.Repeat([]byte("photo"), share/4)
	go func() {
		_, _ = c.Write(sent)
		_ = c.Close()
	}()
	got, err := io.ReadAll(far)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	is.True(h.Available(time.Now(), "link:a:b") < share) // it went through the share
}

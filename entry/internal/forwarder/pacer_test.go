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

// Guards against uploads that are interrupted because they exceed the link's share. They must slow down and complete;
// an interrupted upload would have to start again each time.
func TestUploadAboveTheShareCompletes(t *testing.T) {
	is := is.New(t)
	const share = 96 << 10
	h := &granter.Holder{}
	h.SetResources(time.Now(), []string{"link:a:b", "link:b:a"})
	sequence, _ := h.Request(time.Now())
	is.True(h.Accept(time.Now(), sequence, time.Minute, []*wire.Grant{{Resource: "link:a:b", Share: share}}))
	local, remote := net.Pipe()
	c := &pacedConn{Conn: local, holder: h, out: "link:a:b", in: "link:b:a", bulk: true}
	sent := bytes.Repeat([]byte("photo"), share/4)
	go func() {
		_, _ = c.Write(sent)
		_ = c.Close()
	}()
	got, err := io.ReadAll(remote)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	is.True(h.Available(time.Now(), "link:a:b") < share) // the bytes were taken from the share
}

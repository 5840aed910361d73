package carrier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/planner"
	"chervilrail.example/entry/internal/pooler"
	"chervilrail.example/entry/internal/watcher"
)

const (
	// signedHead is the head of a target's success. zeroAnswer has the status 000, and the text of a success as its body.
	signedHead = "HTTP/1.1 200 OK\r\nX-Chervilrail-Attempt-Id: a1\r\nX-Chervilrail-Server-Signature: s\r\n" +
		"Content-Length: 4\r\n\r\n"
	soundAnswer = signedHead + "body"
	zeroAnswer  = "HTTP/1.1 000 Zero\r\nX-Chervilrail-Attempt-Id: a1\r\nX-Chervilrail-Server-Signature: s\r\n" +
		"Content-Length: 107\r\n\r\n" + signedHead + "fake"
	// routeTime is the timeout of the routes in these tests.
	routeTime = 300 * time.Millisecond
)

// startRawTarget starts a target that answers each request with bytes and leaves the connection open.
func startRawTarget(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go answerRequests(c, answer)
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}

func answerRequests(c net.Conn, answer string) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer)
	}
}

// startPoolingCarrier starts a carrier that sends to targets at addresses.
func startPoolingCarrier(t *testing.T, addresses ...netip.AddrPort) *Carrier {
	t.Helper()
	c, _ := startCarrier(t, signedAnswer(http.StatusOK))
	var specs []placer.Spec
	for _, a := range addresses {
		specs = append(specs, placer.Spec{
			Name: a.String(), Address: a, Region: "r", Zone: "z", Slots: 2, OwnSlots: 2,
		})
	}
	c.Sender = &pooler.Pooler{}
	view := &watcher.View{
		Table: planner.NewTable(testPlan()), Targets: map[string][]placer.Spec{"listings": specs}, InstanceCount: 1,
	}
	c.Views = viewsWith(view)
	c.ApplyView(view)
	return c
}

// Guards against callers that wait for their deadline, or get the bytes of a body as an answer, from a target in trouble
// whose answers have the status 000.
func TestAnswerWithStatusZeroIsBroken(t *testing.T) {
	t.Run("not repeated", func(t *testing.T) {
		is := is.New(t)
		c := startPoolingCarrier(t, startRawTarget(t, zeroAnswer))
		began := time.Now()
		w := sendRequest(c, http.MethodPost, "/once/x")
		is.Equal(w.Code, http.StatusBadGateway)
		is.True(time.Since(began) < routeTime)
		is.True(!strings.Contains(w.Body.String(), "fake"))
	})
	t.Run("repeated at another target", func(t *testing.T) {
		is := is.New(t)
		faulty, sound := startRawTarget(t, zeroAnswer), startRawTarget(t, soundAnswer)
		c := startPoolingCarrier(t, faulty, sound)
		for range 8 {
			began := time.Now()
			w := sendRequest(c, http.MethodGet, "/safe/x")
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Body.String(), "body")
			is.True(time.Since(began) < routeTime)
		}
	})
}

package courier

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	// mostInCall is the size in bytes of a call with more than one message, with some room for the framing.
	mostInCall = 1<<20 + 4<<10
	// mostAtOnce is the size in bytes of all calls that are sent at the same time, if no message is larger than a call.
	mostAtOnce = 4 * mostInCall
)

// receiver is a controller that holds each call with entries until it is released.
type receiver struct {
	release chan struct{}
	mu      sync.Mutex
	// indexes are those of the received messages with entries, in order; heartbeats counts the others.
	indexes    []uint64
	heartbeats int
	// atOnce is the size of the calls in progress, most the most it was, batch the largest call with several messages.
	atOnce int
	most   int
	batch  int
	conns  []net.Conn
}

// recorder is a listener that records the connections of a receiver.
type recorder struct {
	net.Listener
	receiver *receiver
}

func (l *recorder) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.receiver.mu.Lock()
	defer l.receiver.mu.Unlock()
	l.receiver.conns = append(l.receiver.conns, conn)
	return conn, nil
}

// reset breaks all connections off.
func (r *receiver) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}

// Deliver implements wireconnect.ReplicasHandler.
func (r *receiver) Deliver(
	_ context.Context, request *connect.Request[wire.DeliverRequest],
) (*connect.Response[wire.DeliverResponse], error) {
	size, entries := proto.Size(request.Msg), 0
	r.mu.Lock()
	r.atOnce += size
	r.most = max(r.most, r.atOnce)
	if len(request.Msg.GetMessages()) > 1 {
		r.batch = max(r.batch, size)
	}
	for _, m := range request.Msg.GetMessages() {
		if len(m.GetEntries()) == 0 {
			r.heartbeats++
			continue
		}
		entries++
		r.indexes = append(r.indexes, m.GetIndex())
	}
	r.mu.Unlock()
	if entries > 0 {
		<-r.release
	}
	r.mu.Lock()
	r.atOnce -= size
	r.mu.Unlock()
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

func (r *receiver) received() (entries, heartbeats int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.indexes), r.heartbeats
}

// startReceiver starts a receiver and a courier, and returns the receiver's address.
func startReceiver(t *testing.T) (*receiver, *Courier, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	r := &receiver{release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewReplicasHandler(r))
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: mux, Protocols: &http.Protocols{}, ReadHeaderTimeout: time.Minute}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(&recorder{socket, r}) }()
	c := &Courier{Dialer: &dialer.Dialer{}, Logger: log.NewNopLogger()}
	is.NoErr(c.Start(t.Context(), nil))
	t.Cleanup(func() {
		is.NoErr(c.Stop(context.Background()))
		is.NoErr(server.Close())
	})
	return r, c, netip.MustParseAddrPort(socket.Addr().String())
}

func appendMessage(index uint64, size int) *wire.Message {
	return &wire.Message{
		Kind: wire.MessageKind_MESSAGE_APPEND, Index: index, Entries: []*wire.Entry{{Index: index + 1, Data: make([]byte, size)}},
	}
}

// waitFor waits until a condition holds, and fails if it doesn't within some seconds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("it did not happen in time")
}

// Guards against a controller that runs out of memory while it sends the log to another one: messages were packed into calls
// by their number, however large they were.
func TestBytesOfCallsAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ count, size, most int }{
		"large":               {24, 300 << 10, mostAtOnce},
		"small":               {500, 7 << 10, mostAtOnce},
		"larger than a batch": {4, 3 << 20, 3<<20 + 4<<10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, courier, address := startReceiver(t)
			courier.Send(address, appendMessage(0, c.size))
			waitFor(t, func() bool { entries, _ := r.received(); return entries == 1 })
			for i := range c.count - 1 {
				courier.Send(address, appendMessage(uint64(i+1), c.size))
			}
			courier.Send(address, &wire.Message{Kind: wire.MessageKind_MESSAGE_APPEND})
			waitFor(t, func() bool { _, heartbeats := r.received(); return heartbeats == 1 }) // it need not wait
			close(r.release)
			sent := min(c.count, (8<<20)/c.size+1)
			waitFor(t, func() bool { entries, _ := r.received(); return entries >= sent })
			is.True(r.batch <= mostInCall)
			is.True(r.most <= c.most)
		})
	}
}

// Guards against messages that are sent before earlier ones whose entries they follow: they would be rejected, and all be sent
// again.
func TestMessagesWithEntriesStayInOrder(t *testing.T) {
	is := is.New(t)
	r, courier, address := startReceiver(t)
	close(r.release)
	const count = 60
	for i := range count {
		courier.Send(address, appendMessage(uint64(i), []int{200 << 10, 10, 10}[i%3]))
	}
	waitFor(t, func() bool { entries, _ := r.received(); return entries == count })
	for i, index := range r.indexes {
		is.Equal(index, uint64(i))
	}
}

// Guards against a controller that lags for seconds after a reset: what is lost of a large message is sent again only when its
// transfer could have ended.
func TestLargeMessageIsSentAgainAfterAReset(t *testing.T) {
	r, courier, address := startReceiver(t)
	defer close(r.release)
	courier.Send(address, appendMessage(0, 300<<10))
	waitFor(t, func() bool { entries, _ := r.received(); return entries == 1 })
	r.reset()
	waitFor(t, func() bool { entries, _ := r.received(); return entries == 2 })
}

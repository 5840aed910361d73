package courier

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/replicator"
	"chervilrail.example/core/wire"
)

const (
	queueLength = 1024
	// maxBatch is how many small messages one call holds, at most maxBatch*replicator.BulkBytes bytes.
	maxBatch = 128
	// maxLargeBytes is how many bytes of large messages wait or are sent when one more is queued at most.
	maxLargeBytes = 8 << 20
)

// queue holds the messages for one controller. Large ones are sent one by one and in order, so that few of them are encoded
// at the same time; small ones overtake them, so that heartbeats don't wait for their transfer. Messages with entries keep
// behind large ones: what overtakes the entries before it would be rejected.
type queue struct {
	small chan *wire.Message
	large chan batch
	// largeBytes is the size of the messages in large and of the one that is being sent.
	largeBytes atomic.Int64
}

// batch is what one call sends. done is called once it is over.
type batch struct {
	messages []*wire.Message
	bytes    int
	done     func()
}

func newQueue() *queue {
	return &queue{small: make(chan *wire.Message, queueLength), large: make(chan batch, queueLength)}
}

// add queues a message, or drops it if there is no room.
func (q *queue) add(m *wire.Message) {
	size := proto.Size(m)
	waiting := q.largeBytes.Load()
	if size <= replicator.BulkBytes && (waiting == 0 || len(m.GetEntries()) == 0) {
		select {
		case q.small <- m:
		default:
		}
		return
	}
	if waiting >= maxLargeBytes {
		return
	}
	q.largeBytes.Add(int64(size))
	b := batch{[]*wire.Message{m}, size, func() { q.largeBytes.Add(-int64(size)) }}
	select {
	case q.large <- b:
	default:
		b.done()
	}
}

// nextLarge waits for a large message. It returns false if ctx ends.
func (q *queue) nextLarge(ctx context.Context) (batch, bool) {
	select {
	case b := <-q.large:
		return b, true
	case <-ctx.Done():
		return batch{}, false
	}
}

// nextSmall waits for a small message and returns it with others that are queued, at most maxBatch. It returns false if ctx
// ends.
func (q *queue) nextSmall(ctx context.Context) (batch, bool) {
	b := batch{done: func() {}}
	select {
	case m := <-q.small:
		b.messages = append(b.messages, m)
	case <-ctx.Done():
		return batch{}, false
	}
	for len(b.messages) < maxBatch {
		select {
		case m := <-q.small:
			b.messages = append(b.messages, m)
		default:
			return b, true
		}
	}
	return b, true
}

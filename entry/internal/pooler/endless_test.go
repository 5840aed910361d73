package pooler

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pour writes the same bytes until the connection is closed.
func pour(c net.Conn, b []byte) {
	for {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// Guards against instances that are killed for their memory, with all their requests, by targets that send bytes without
// end in place of a head.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for name, bytes := range map[string]string{
		"no answer":       "\x00",
		"status line":     "HTTP/1.1 200 OK ",
		"one header":      "a",
		"many headers":    "X-Some-Header: some text\r\n",
		"interim answers": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, func(c net.Conn, _ int) {
				if strings.HasSuffix(name, "header") || strings.HasSuffix(name, "headers") {
					write(c, "HTTP/1.1 200 OK\r\n")
				}
				pour(c, []byte(strings.Repeat(bytes, 4096)))
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			began := time.Now()
			_, outcome, err := (&Pooler{}).Send(ctx, target.address, request("x"))
			is.Equal(outcome, Broken)
			is.True(time.Since(began) < time.Second) // not at the deadline
			var tooLarge *AnswerTooLargeError
			is.True(errors.As(err, &tooLarge) || strings.Contains(err.Error(), "malformed"))
		})
	}
}

// sendOnceConnected sends a request until a connection was opened for it. Where targets that send without end take all
// processors, opening one may exceed its time-out.
func sendOnceConnected(ctx context.Context, p *Pooler, target *fakeTarget) (*Answer, Outcome, error) {
	for {
		answer, outcome, err := p.Send(ctx, target.address, request("x"))
		if ctx.Err() != nil || outcome != Unsent || !DialFailed(err) {
			return answer, outcome, err
		}
	}
}

// Guards against the same by bodies without end, many at once, and against sound answers that are given up for them.
func TestEndlessBodiesDoNotTakeTheMemory(t *testing.T) {
	const memory = 8 << 20
	sound := strings.Repeat("s", 1<<20)
	for name, head := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n",
		"false length":     "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 999999999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			faulty := startTarget(t, func(c net.Conn, _ int) {
				write(c, head)
				pour(c, make([]byte, 64<<10))
			})
			healthy := startTarget(t, func(c net.Conn, _ int) {
				write(c, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1048576\r\n\r\n"+sound)
			})
			p := &Pooler{AnswerMemory: memory}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var group sync.WaitGroup
			t.Cleanup(group.Wait)
			for range 40 {
				group.Go(func() {
					_, outcome, err := sendOnceConnected(ctx, p, faulty)
					var tooLarge *AnswerTooLargeError
					if outcome != Broken || !errors.As(err, &tooLarge) {
						t.Errorf("outcome %v, %v", outcome, err)
					}
				})
			}
			for range 20 {
				answer, outcome, err := sendOnceConnected(ctx, p, healthy)
				is.NoErr(err)
				is.Equal(outcome, Answered)
				is.Equal(len(answer.Body), len(sound))
				p.buffers.mu.Lock()
				held := p.buffers.total
				p.buffers.mu.Unlock()
				is.True(held <= memory)
			}
			group.Wait()
			is.Equal(p.buffers.total, int64(0))
			runtime.GC()
			var used runtime.MemStats
			runtime.ReadMemStats(&used)
			is.True(used.HeapAlloc < 4*memory)
		})
	}
}

// Guards against the same by large bodies whose ends never come: each is allowed, and is held until its deadline.
func TestUnfinishedBodiesDoNotTakeTheMemory(t *testing.T) {
	const memory, sent = 8 << 20, 4 << 20
	is := is.New(t)
	faulty := startTarget(t, func(c net.Conn, _ int) {
		write(c, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 8000000\r\n\r\n")
		write(c, strings.Repeat("x", sent))
		<-t.Context().Done()
	})
	p := &Pooler{AnswerMemory: memory}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { _, _, _ = sendOnceConnected(ctx, p, faulty) })
	}
	time.Sleep(2 * time.Second)
	runtime.GC()
	var used runtime.MemStats
	runtime.ReadMemStats(&used)
	t.Logf("%d MiB", used.HeapAlloc>>20)
	is.True(used.HeapAlloc < 4*memory)
	cancel()
	group.Wait()
	is.Equal(p.buffers.total, int64(0))
}

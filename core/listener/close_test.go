package listener

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

const (
	// receiveBuffer is the size in bytes of a slow caller's receive buffer, far below that of an answer.
	receiveBuffer = 2 << 10
	answerSize    = 30 << 10
	work          = 20 * time.Millisecond
	// pause is how long a slow caller waits between the head of an answer and its body.
	pause = 20 * time.Millisecond
)

// answers is a handler that records which requests it has answered.
type answers struct {
	mu       sync.Mutex
	answered map[string]bool
	stopping atomic.Bool
}

// ServeHTTP implements http.Handler. Once stopping is set, answers close their connections.
func (a *answers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(work)
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", strconv.Itoa(answerSize))
	a.mu.Lock()
	if a.answered == nil {
		a.answered = map[string]bool{}
	}
	a.answered[r.URL.Path] = true
	a.mu.Unlock()
	_, _ = w.Write(make([]byte, answerSize))
}

// missing returns the paths that were answered and are not in received.
func (a *answers) missing(received map[string]bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for path := range a.answered {
		if !received[path] {
			out = append(out, path)
		}
	}
	return out
}

// slowCaller keeps some requests in flight on one connection and reads answers slowly.
type slowCaller struct {
	name  string
	depth int
	conn  *pipeliner.Conn
	// received are the paths of which the whole answer was read.
	received map[string]bool
}

// run sends and reads until the connection ends or an answer closes it.
func (s *slowCaller) run() {
	defer func() { _ = s.conn.Close() }()
	for sent, read := 0, 0; ; read++ {
		for ; sent < read+s.depth; sent++ {
			_ = s.conn.Get(s.path(sent), "") // fails if the other end has closed; answers may still be on their way
		}
		answer, err := s.conn.Receive()
		if err != nil || len(answer.Body) != answerSize {
			return
		}
		s.received[s.path(read)] = true
		if answer.Last {
			return
		}
	}
}

func (s *slowCaller) path(i int) string { return "/" + s.name + "/" + strconv.Itoa(i) }

// Guards against a planned stop that discards answers: a caller has sent further requests on its connection, and a reset
// takes what it has not yet received of the answers before them.
func TestStopDeliversAnswersToPipeliningCallers(t *testing.T) {
	for _, depth := range []int{1, 2, 6} {
		t.Run(strconv.Itoa(depth), func(t *testing.T) {
			is := is.New(t)
			a := &answers{}
			l := start(t, a.ServeHTTP)
			callers := make([]*slowCaller, 20)
			var group sync.WaitGroup
			for i := range callers {
				c, err := (&pipeliner.Pipeliner{ReceiveBuffer: receiveBuffer, Pause: pause}).Dial(t.Context(), l.Address.String())
				is.NoErr(err)
				callers[i] = &slowCaller{name: strconv.Itoa(i), depth: depth, conn: c, received: map[string]bool{}}
				group.Go(callers[i].run)
			}
			time.Sleep(10 * work)
			a.stopping.Store(true)
			time.Sleep(2 * work)
			is.NoErr(stop(l))
			group.Wait()
			received := map[string]bool{}
			for _, c := range callers {
				for path := range c.received {
					received[path] = true
				}
			}
			is.Equal(len(a.missing(received)), 0) // answered, but not received whole
			is.True(len(received) > 0)
		})
	}
}

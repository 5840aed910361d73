package pooler

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target's refusal that has arrived and is discarded at the deadline, because the target reads no more of
// the body and leaves the connection open: the caller waits in vain and is told that its request may have run.
func TestAnswerOfATargetThatReadsNoMoreIsRead(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\nContent-Length: 4\r\n\r\nbody"
	is := is.New(t)
	address := startEarlyTarget(t, refusal, 5*time.Second)
	p := &Pooler{}
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	answer, outcome, err := p.Send(ctx, address, request(strings.Repeat("x", earlyBody)))
	is.NoErr(err)
	is.Equal(outcome, Answered)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
}

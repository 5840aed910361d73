package carrier

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"chervilrail.example/platform/translator"
)

// lastPart is the end of a body. Reading it calls ends.
type lastPart struct{ ends func() }

func (p lastPart) Read([]byte) (int, error) {
	p.ends()
	return 0, io.EOF
}

// Guards against a caller whose connection is closed without an answer because its body is complete at the moment when its
// instance leaves: the server reads on then, and takes the end of reads from uploads for that of the connection.
func TestBodyThatIsCompleteWhenItsInstanceLeavesIsAnswered(t *testing.T) {
	c, _ := startCarrier(t, signedAnswer(http.StatusOK))
	ctx, cancel := context.WithCancel(t.Context())
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/once/1", lastPart{sync.OnceFunc(func() {
		c.Leave(stopIn(promptly))
		cancel()
	})})
	r.Header.Set(translator.HeaderAttemptID, "a")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	checkRefused(t, w.Code, w.Header())
}

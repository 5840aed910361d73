package carrier

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that waits for a connection to its target when its instance leaves, and is sent then, though it
// may have to be broken off there.
func TestRequestThatWaitsForAConnectionIsNotSentOnceItsInstanceLeaves(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1"} {
		t.Run(path, func(t *testing.T) {
			c, s := startCarrier(t, signedAnswer(http.StatusOK))
			s.attempts[0].connecting = func() { c.Leave(stopIn(promptly)) }
			w := sendRequest(c, http.MethodPost, path)
			checkRefused(t, w.Code, w.Header())
			is.New(t).Equal(w.Body.String(), "leaving\n")
		})
	}
}

package listener

import (
	"crypto/tls"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// Guards against a planned stop that reads a whole request over TLS from a connection that it leaves open, and then closes
// the connection without an answer.
func TestStopAnswersRequestsThatItReadsOverTLS(t *testing.T) {
	is := is.New(t)
	l := &Listener{ServiceName: "test", Address: freeAddress(t), Keys: writeKeys(t), Logger: log.NewNopLogger()}
	l.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	is.NoErr(l.Start(t.Context(), nil))
	c, err := tls.Dial("tcp", l.Address.String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // any certificate will do
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	done := make(chan error, 1)
	go func() { done <- stop(l) }()
	time.Sleep(unusedGrace / 4)
	is.Equal(exchange(c), http.StatusNoContent)
	is.NoErr(<-done)
}

package reloader

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// An operator changes the settings file and sends SIGHUP. Without a handler the process would end at once and abort all
// its requests. It must reload the file instead, also after a reload that failed.
func TestSignalReloads(t *testing.T) {
	is := is.New(t)
	loads := make(chan struct{}, 8)
	results := []error{errors.New("unreadable"), nil}
	r := &Reloader{Logger: log.NewNopLogger(), Load: func() error {
		err := results[0]
		results = results[1:]
		loads <- struct{}{}
		return err
	}}
	is.NoErr(r.Start(context.Background(), nil))
	for range 2 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case <-loads:
		case <-time.After(5 * time.Second):
			t.Fatal("not reloaded")
		}
	}
	is.NoErr(r.Stop(context.Background()))
	// A signal after the stop has begun is ignored as well.
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
}

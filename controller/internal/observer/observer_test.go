package observer

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// assertLines fails unless a sync that has lasted for some time has written these lines.
func assertLines(t *testing.T, took time.Duration, ends bool, want ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		o := &Observer{Logger: log.NewLogfmtLogger(&out), Durations: NewDurations(prometheus.NewRegistry())}
		done := o.Observe("/data/log-7")
		time.Sleep(took)
		synctest.Wait()
		if ends {
			done()
		}
		is.Equal(out.String(), strings.Join(want, ""))
	})
}

// Guards against a disk that holds a controller up unseen.
func TestSlowSyncsAreLogged(t *testing.T) {
	const (
		lasting = "level=warn msg=\"slow sync\" file=log-7 took=250ms ended=false\n"
		ended   = "level=warn msg=\"slow sync\" file=log-7 took=3s ended=true\n"
	)
	t.Run("short", func(t *testing.T) { assertLines(t, slowSync-1, true) })
	t.Run("long", func(t *testing.T) { assertLines(t, 3*time.Second, true, lasting, ended) })
	t.Run("without end", func(t *testing.T) { assertLines(t, 3*time.Second, false, lasting) })
}

// Guards against syncs that no metric shows.
func TestSyncsAreMeasured(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	o := &Observer{Logger: log.NewNopLogger(), Durations: NewDurations(registry)}
	o.Observe("/data/log-7")()
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(families[0].GetName(), "chervilrail_controller_sync_seconds")
	is.Equal(families[0].GetMetric()[0].GetHistogram().GetSampleCount(), uint64(1))
}

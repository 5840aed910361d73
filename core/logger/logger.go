// Package logger makes the structured loggers of the programs.
package logger

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
)

// Options are the log settings of a program.
type Options struct {
	// Format is logfmt or json.
	Format string
	// Level is debug, info, warn or error.
	Level string
	// Program and Instance are added to every line.
	Program  string
	Instance string
}

// closeTimeout bounds how long a program waits at its end until its last lines are written.
const closeTimeout = time.Second

// Open returns a logger to standard output that never blocks, and a function that flushes and closes it. Dropped lines
// are counted in the registry.
func Open(o Options, registry prometheus.Registerer) (log.Logger, func()) {
	w := &Writer{Out: os.Stdout}
	w.Start(registry)
	return New(w, o), func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// The program ends: a failure can't be reported any more.
		_ = w.Close(ctx)
	}
}

// New returns a logger that writes to w.
func New(w io.Writer, o Options) log.Logger {
	w = log.NewSyncWriter(w)
	base := log.NewLogfmtLogger(w)
	if o.Format == "json" {
		base = log.NewJSONLogger(w)
	}
	base = level.NewFilter(base, level.Allow(level.ParseDefault(o.Level, level.InfoValue())))
	return log.With(base, "ts", log.DefaultTimestampUTC, "program", o.Program, "instance", o.Instance)
}

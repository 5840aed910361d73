// Package logger makes the programs' structured loggers.
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
	// Program and Instance stand in every line.
	Program  string
	Instance string
}

// closeTimeout bounds how long a program that ends waits for its last lines to be read.
const closeTimeout = time.Second

// Open returns a logger to standard output that never blocks, and what ends it.
func Open(o Options, registry prometheus.Registerer) (log.Logger, func()) {
	w := &Writer{Out: os.Stdout}
	w.Start(registry)
	return New(w, o), func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// Nobody is left to be told of a failure.
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

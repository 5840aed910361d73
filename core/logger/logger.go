// Package logger makes the programs' structured loggers.
package logger

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
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

// Package kernel runs the named services of a program: it starts them in order, lets them look each other up by name,
// reports their health, and stops them in reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/stopper"
)

// Service is a part of a program that is started and stopped with it.
type Service interface {
	// Name returns the name by which other services find it.
	Name() string
	// Start returns when the service is ready; it continues to run in goroutines of its own.
	Start(ctx context.Context, finder Finder) error
	// Stop finishes work in progress and returns, at the latest when ctx ends.
	Stop(ctx context.Context) error
	// Health returns nil if the service works, or the reason why it does not.
	Health() error
}

// Finder looks up services by name.
type Finder interface {
	Find(name string) (Service, error)
}

// Kernel runs the services of a program. Set the exported fields, then call Run.
type Kernel struct {
	Logger   log.Logger
	Services []Service
	// Stopper tells when services have to stop. Their contexts carry its deadlines.
	Stopper stopper.Stopper
	// MemoryLimit is how much memory the process may use, in bytes; zero sets no limit.
	MemoryLimit int64
	// Fatal receives the error of a service that can't continue; Run then stops all services and returns the error.
	Fatal chan error

	started []Service
	// told is when Run was told to stop: signals may come while services still start.
	told atomic.Pointer[time.Time]
}

// memoryShare is the part of the memory limit that is set as the Go runtime's soft limit, above which the garbage
// collector works harder. The rest is for stacks, kernel buffers and memory that is freed late.
const memoryShare = 0.6

// Find implements Finder. The error is a *ServiceError.
func (k *Kernel) Find(name string) (Service, error) {
	for _, s := range k.Services {
		if s.Name() == name {
			return s, nil
		}
	}
	return nil, &ServiceError{Service: name, Action: "find", Cause: errors.New("no such service")}
}

// Run sets the runtime's memory limit, starts all services, waits until ctx ends or a service fails, and stops the started services. It
// returns the error of starting or of the failed service, joined with those of stopping.
func (k *Kernel) Run(ctx context.Context) error {
	if k.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(k.MemoryLimit) * memoryShare))
	}
	forget := context.AfterFunc(ctx, func() {
		now := time.Now()
		k.told.Store(&now)
	})
	defer forget()
	err := k.start(ctx)
	if err == nil {
		err = k.wait(ctx)
	}
	return errors.Join(err, k.stop())
}

func (k *Kernel) start(ctx context.Context) error {
	for _, s := range k.Services {
		if told(ctx) {
			return nil
		}
		_ = level.Debug(k.Logger).Log("msg", "starting", "service", s.Name())
		if err := s.Start(ctx, k); err != nil {
			return &ServiceError{Service: s.Name(), Action: "start", Cause: err}
		}
		k.started = append(k.started, s)
	}
	_ = level.Info(k.Logger).Log("msg", "started", "services", len(k.started))
	return nil
}

// told reports whether the process was told to stop.
func told(ctx context.Context) bool { return ctx.Err() != nil }

func (k *Kernel) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-k.Fatal:
		return err
	}
}

func (k *Kernel) stop() error {
	began := time.Now()
	if told := k.told.Load(); told != nil {
		began = *told
	}
	d := k.Stopper.From(began)
	ctx, cancel := stopper.NewContext(context.Background(), d)
	defer cancel()
	_ = level.Info(k.Logger).Log("msg", "stopping", "services", len(k.started), "serve", time.Until(d.Serve),
		"end", time.Until(d.End), "cut", time.Until(d.Cut), "exit", time.Until(d.Exit))
	var failures error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		_ = level.Debug(k.Logger).Log("msg", "stopping", "service", s.Name())
		if err := s.Stop(ctx); err != nil {
			failures = errors.Join(failures, &ServiceError{Service: s.Name(), Action: "stop", Cause: err})
		}
	}
	return failures
}

// Health returns the health of each service by name; nil means healthy.
func (k *Kernel) Health() map[string]error {
	out := map[string]error{}
	for _, s := range k.Services {
		out[s.Name()] = s.Health()
	}
	return out
}

// ServiceError reports which action of which service failed.
type ServiceError struct {
	Service string
	Action  string
	Cause   error
}

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("%s service %s: %v", e.Action, e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *ServiceError) Unwrap() error { return e.Cause }

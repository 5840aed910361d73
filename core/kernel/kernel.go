// Package kernel runs the named services of a program: it starts them in order, lets them look each other up by name,
// reports their health, and stops them in reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
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
	// StopTimeout is how long all services together may take to stop.
	StopTimeout time.Duration
	// MemoryLimit is how much memory the process may use, in bytes; zero sets no limit.
	MemoryLimit int64
	// Fatal receives the error of a service that can't continue; Run then stops all services and returns the error.
	Fatal chan error

	started []Service
}

// stopMargin is the time between the time-out of a planned stop and the end of the grace period: the process still has to
// end, and on a busy machine both the signal and the end come late.
const stopMargin = 500 * time.Millisecond

// StopTimeoutFor returns the time-out of a planned stop for a grace period, the time from the request to stop to the kill.
func StopTimeoutFor(grace time.Duration) time.Duration { return grace - stopMargin }

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
	err := k.start(ctx)
	if err == nil {
		err = k.wait(ctx)
	}
	return errors.Join(err, k.stop())
}

func (k *Kernel) start(ctx context.Context) error {
	for _, s := range k.Services {
		_ = level.Debug(k.Logger).Log("msg", "starting", "service", s.Name())
		if err := s.Start(ctx, k); err != nil {
			return &ServiceError{Service: s.Name(), Action: "start", Cause: err}
		}
		k.started = append(k.started, s)
	}
	_ = level.Info(k.Logger).Log("msg", "started", "services", len(k.started))
	return nil
}

func (k *Kernel) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-k.Fatal:
		return err
	}
}

func (k *Kernel) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), k.StopTimeout)
	defer cancel()
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

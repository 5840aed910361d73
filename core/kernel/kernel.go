// Package kernel runs a program's named services: it starts them in order, lets them find each other by
// name, reports their health, and stops them in reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Service is one part of a program.
type Service interface {
	// Name is how other services find it.
	Name() string
	// Start returns when the service works; it runs on in goroutines of its own.
	Start(ctx context.Context, finder Finder) error
	// Stop finishes what was begun and returns, at the latest when ctx ends.
	Stop(ctx context.Context) error
	// Health returns nil when the service can do its work.
	Health() error
}

// Finder looks services up by name.
type Finder interface {
	Find(name string) (Service, error)
}

// Kernel holds the services. Set the exported fields, then call Run.
type Kernel struct {
	Logger   log.Logger
	Services []Service
	// StopTimeout bounds how long all services together may take to stop.
	StopTimeout time.Duration
	// Fatal receives the error of a service that can't go on; the program then stops.
	Fatal chan error

	started []Service
}

// Find implements Finder.
func (k *Kernel) Find(name string) (Service, error) {
	for _, s := range k.Services {
		if s.Name() == name {
			return s, nil
		}
	}
	return nil, &ServiceError{Service: name, Action: "find", Cause: errors.New("no such service")}
}

// Run starts all services, waits until ctx ends or a service fails, and stops them.
func (k *Kernel) Run(ctx context.Context) error {
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
	var all error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		_ = level.Debug(k.Logger).Log("msg", "stopping", "service", s.Name())
		if err := s.Stop(ctx); err != nil {
			all = errors.Join(all, &ServiceError{Service: s.Name(), Action: "stop", Cause: err})
		}
	}
	return all
}

// Health returns the state of each service by name.
func (k *Kernel) Health() map[string]error {
	out := map[string]error{}
	for _, s := range k.Services {
		out[s.Name()] = s.Health()
	}
	return out
}

// ServiceError says which service failed at what.
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

package kernel_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/kernel"
	"chervilrail.example/core/stopper"
)

const (
	// startTime is how long a slow service takes to start, stopTime the time for a stop.
	startTime = 200 * time.Millisecond
	stopTime  = time.Second
	// slack is how late a goroutine may run on a busy machine; it is shorter than startTime.
	slack = 100 * time.Millisecond
)

// program records what is done with its services, and when each is told that the stop began.
type program struct {
	steps     []string
	deadlines []stopper.Deadlines
}

// fakeService records its start and its stop.
type fakeService struct {
	name     string
	program  *program
	starting func() error
	stopping func(ctx context.Context) error
}

func (f *fakeService) Name() string  { return f.name }
func (f *fakeService) Health() error { return nil }

func (f *fakeService) Start(context.Context, kernel.Finder) error {
	f.program.steps = append(f.program.steps, "start "+f.name)
	if f.starting == nil {
		return nil
	}
	return f.starting()
}

func (f *fakeService) Stop(ctx context.Context) error {
	f.program.steps = append(f.program.steps, "stop "+f.name)
	f.program.deadlines = append(f.program.deadlines, stopper.FromContext(ctx))
	if f.stopping == nil {
		return nil
	}
	return f.stopping(ctx)
}

// newKernel returns a kernel with services that record what is done with them; change may change them first.
func newKernel(change func(k *kernel.Kernel, services map[string]*fakeService)) (*kernel.Kernel, *program) {
	p := &program{}
	k := &kernel.Kernel{
		Logger: log.NewNopLogger(), Stopper: stopper.Stopper{Timeout: stopTime}, Fatal: make(chan error, 1),
	}
	services := map[string]*fakeService{}
	for _, name := range []string{"a", "b", "c"} {
		services[name] = &fakeService{name: name, program: p}
		k.Services = append(k.Services, services[name])
	}
	change(k, services)
	return k, p
}

// Guards against a process that is killed within its stop: the signal came while its services started, and the stop counts
// its time from the end of the start.
func TestDeadlinesCountFromASignalDuringTheStart(t *testing.T) {
	is := is.New(t)
	ctx, tell := context.WithCancel(t.Context())
	var toldAt time.Time
	k, p := newKernel(func(_ *kernel.Kernel, services map[string]*fakeService) {
		services["b"].starting = func() error {
			toldAt = time.Now()
			tell()
			time.Sleep(startTime)
			return nil
		}
	})
	is.NoErr(k.Run(ctx))
	is.Equal(p.steps, []string{"start a", "start b", "stop b", "stop a"})
	for _, d := range p.deadlines {
		is.True(!d.Began.Before(toldAt))
		is.True(d.Began.Before(toldAt.Add(slack)))
		is.Equal(d.Exit, d.Began.Add(stopTime))
	}
}

// Guards against a stop whose later services get more time because former ones took long.
func TestSlowStopsShiftNoDeadline(t *testing.T) {
	is := is.New(t)
	ctx, tell := context.WithCancel(t.Context())
	k, p := newKernel(func(_ *kernel.Kernel, services map[string]*fakeService) {
		services["c"].starting = func() error {
			tell()
			return nil
		}
		services["c"].stopping = func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		}
		services["b"].stopping = func(ctx context.Context) error { return ctx.Err() }
	})
	err := k.Run(ctx)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(len(p.deadlines), 3)
	is.Equal(p.deadlines[0], p.deadlines[1])
	is.Equal(p.deadlines[0], p.deadlines[2])
	is.True(time.Now().Before(p.deadlines[0].Exit.Add(slack)))
}

// causeError is an error of a service.
type causeError struct{ action string }

func (e *causeError) Error() string { return e.action + " failed" }

// Guards against services that are not stopped, or whose error is lost, because another failed to stop.
func TestAllServicesAreStoppedWhenSomeFail(t *testing.T) {
	is := is.New(t)
	ctx, tell := context.WithCancel(t.Context())
	tellOnce := func() error {
		tell()
		return nil
	}
	k, p := newKernel(func(_ *kernel.Kernel, services map[string]*fakeService) {
		services["c"].starting = tellOnce
		for _, name := range []string{"a", "c"} {
			services[name].stopping = func(context.Context) error { return &causeError{"stop"} }
		}
	})
	err := k.Run(ctx)
	is.Equal(p.steps, []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"})
	var cause *causeError
	is.True(errors.As(err, &cause))
	is.Equal(err.Error(), "stop service c: stop failed\nstop service a: stop failed")
}

// Guards against a process that goes on with some of its services, though one could not start.
func TestFailedStartStopsWhatHasStarted(t *testing.T) {
	is := is.New(t)
	k, p := newKernel(func(_ *kernel.Kernel, services map[string]*fakeService) {
		services["b"].starting = func() error { return &causeError{"start"} }
	})
	err := k.Run(t.Context())
	var failed *kernel.ServiceError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Service, "b")
	is.Equal(p.steps, []string{"start a", "start b", "stop a"})
}

// Guards against a process that goes on after one of its services has failed for good.
func TestFatalErrorStopsTheProcess(t *testing.T) {
	is := is.New(t)
	k, p := newKernel(func(k *kernel.Kernel, services map[string]*fakeService) {
		services["a"].starting = func() error {
			k.Fatal <- &causeError{"run"} // before the other services have started
			return nil
		}
	})
	err := k.Run(t.Context())
	var cause *causeError
	is.True(errors.As(err, &cause))
	is.Equal(cause.action, "run")
	is.Equal(p.steps, []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"})
}

// Guards against a process that starts although it was told to stop before.
func TestSignalBeforeTheStartStartsNothing(t *testing.T) {
	is := is.New(t)
	ctx, tell := context.WithCancel(t.Context())
	tell()
	k, p := newKernel(func(*kernel.Kernel, map[string]*fakeService) {})
	is.NoErr(k.Run(ctx))
	is.Equal(len(p.steps), 0)
}

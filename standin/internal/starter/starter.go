// Package starter runs a small system of real processes on loopback addresses, for the demo, the
// measurements and the tests of failures. It ends only what it started.
package starter

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every process; each process has an address of its own.
const (
	ControlPort      = 7000
	OperatorPort     = 7001
	CallerPort       = 8000
	AnnouncementPort = 8001
	PeerPort         = 8002
	MetricsPort      = 8003
	ServicePort      = 9000

	folderMode = 0o750
	fileMode   = 0o640
	stopTime   = 15 * time.Second
)

// Process is one process that was started.
type Process struct {
	Name    string
	Address netip.Addr

	command *exec.Cmd
	done    chan struct{}
	err     error
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// PID returns the process's id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Freeze stops the process without ending it.
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop and returns at once.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Stop asks the process to stop, waits, and returns how it ended.
func (p *Process) Stop(timeout time.Duration) error {
	p.Terminate()
	return p.Wait(timeout)
}

// Wait waits until the process ended.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return &TimeoutError{Awaited: p.Name}
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// System is a set of processes. Set the exported fields, then call the start methods.
type System struct {
	// Programs is the folder with the built programs.
	Programs string
	// Folder holds settings, logs and data.
	Folder string
	// Net picks the addresses 127.Net.x.y, so that systems do not meet.
	Net byte
	// Region and Zone of process i of each kind.
	Places []Place
	// AnswerLifetime is how long callers may keep look-up answers.
	AnswerLifetime time.Duration
	// LogSample is passed on to the entry instances' log settings.
	LogSample int

	Controllers []*Process
	Entries     []*Process
	Targets     []*Process

	mu        sync.Mutex
	processes []*Process
}

// Place is a region and an availability zone.
type Place struct {
	Region string
	Zone   string
}

func (s *System) place(i int) Place { return s.Places[i%len(s.Places)] }

const (
	controllerNet = 1
	entryNet      = 2
	targetNet     = 3
)

func (s *System) address(kind byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.Net, kind, byte(i + 1)})
}

// Start runs a program under a name and keeps its output in a log file.
func (s *System) Start(name, program string, address netip.Addr, arguments ...string) (*Process, error) {
	logs, err := os.OpenFile(filepath.Join(s.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(s.Programs, program), arguments...)
	command.Stdout, command.Stderr = logs, logs
	// A test that is ended from outside must not leave processes behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, Address: address, command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		_ = logs.Close()
		close(p.done)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

// Close ends everything that still runs.
func (s *System) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.Ended() {
			p.Thaw()
			p.Kill()
		}
	}
}

func (s *System) write(name, text string) (string, error) {
	path := filepath.Join(s.Folder, name)
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), fileMode)
}

func (s *System) replicas(count int) string {
	var out []string
	for i := range count {
		out = append(out, fmt.Sprintf("c%d@%s:%d", i+1, s.address(controllerNet, i), ControlPort))
	}
	return strings.Join(out, ", ")
}

// StartControllers founds a group on the first and starts all of them.
func (s *System) StartControllers(count int) error {
	for i := range count {
		path, err := s.controllerSettings(i, count)
		if err != nil {
			return err
		}
		if i == 0 {
			out, err := exec.Command(filepath.Join(s.Programs, "controller"), "found", "--config", path).CombinedOutput()
			if err != nil {
				return fmt.Errorf("found group: %w: %s", err, out)
			}
		}
		p, err := s.StartController(i)
		if err != nil {
			return err
		}
		s.Controllers = append(s.Controllers, p)
	}
	return nil
}

func (s *System) controllerSettings(i, count int) (string, error) {
	name := fmt.Sprintf("c%d", i+1)
	address := s.address(controllerNet, i)
	place := s.place(i)
	return s.write(name+".ini", fmt.Sprintf(`[controller]
name = %s
region = %s
zone = %s
folder = %s

[listen]
control = %s:%d
operator = %s:%d

[peers]
replicas = %s

[timing]
election = 600ms
heartbeat = 100ms
replace = 2s
lease = 4s
`, name, place.Region, place.Zone, s.DataFolder(i), address, ControlPort, address, OperatorPort, s.replicas(count)))
}

// DataFolder is where controller i keeps its state.
func (s *System) DataFolder(i int) string {
	return filepath.Join(s.Folder, fmt.Sprintf("c%d.data", i+1))
}

// StartController starts or restarts one controller.
func (s *System) StartController(i int) (*Process, error) {
	name := fmt.Sprintf("c%d", i+1)
	path := filepath.Join(s.Folder, name+".ini")
	p, err := s.Start(name, "controller", s.address(controllerNet, i), "run", "--config", path)
	if err == nil && i < len(s.Controllers) {
		s.Controllers[i] = p
	}
	return p, err
}

// StartEntries starts entry instances that use the controllers.
func (s *System) StartEntries(count int) error {
	for i := range count {
		p, err := s.StartEntry(i)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, p)
	}
	return nil
}

// StartEntry starts or restarts one entry instance.
func (s *System) StartEntry(i int) (*Process, error) {
	name := fmt.Sprintf("e%d", i+1)
	address := s.address(entryNet, i)
	place := s.place(i)
	var controllers []string
	for _, c := range s.Controllers {
		controllers = append(controllers, fmt.Sprintf("%s:%d", c.Address, ControlPort))
	}
	path, err := s.write(name+".ini", fmt.Sprintf(`[entry]
name = %s
region = %s
zone = %s

[listen]
caller = %s:%d
target = %s:%d
peer = %s:%d
operator = %s:%d

[controllers]
addresses = %s

[timing]
answer = %s

[log]
sample = %d
`, name, place.Region, place.Zone, address, CallerPort, address, AnnouncementPort, address, PeerPort, address,
		MetricsPort, strings.Join(controllers, ", "), max(s.AnswerLifetime, time.Second), max(s.LogSample, 1)))
	if err != nil {
		return nil, err
	}
	p, err := s.Start(name, "entry", address, "run", "--config", path)
	if err == nil && i < len(s.Entries) {
		s.Entries[i] = p
	}
	return p, err
}

// TargetSettings describe one target to start.
type TargetSettings struct {
	Service string
	Slots   int
	Work    time.Duration
}

// StartTarget starts a target that announces itself to every entry instance.
func (s *System) StartTarget(b TargetSettings) (*Process, error) {
	i := len(s.Targets)
	p, err := s.startTarget(i, b)
	if err == nil {
		s.Targets = append(s.Targets, p)
	}
	return p, err
}

// RestartTarget starts target i again, as a new run of the same name.
func (s *System) RestartTarget(i int, b TargetSettings) error {
	p, err := s.startTarget(i, b)
	if err == nil {
		s.Targets[i] = p
	}
	return err
}

func (s *System) startTarget(i int, b TargetSettings) (*Process, error) {
	name := fmt.Sprintf("u%d", i+1)
	address := s.address(targetNet, i)
	place := s.place(i)
	var entries []string
	for _, e := range s.Entries {
		entries = append(entries, fmt.Sprintf("%s:%d", e.Address, AnnouncementPort))
	}
	return s.Start(name, "standin", address, "target",
		"--name", name, "--service", b.Service, "--address", fmt.Sprintf("%s:%d", address, ServicePort),
		"--region", place.Region, "--zone", place.Zone, "--slots", fmt.Sprint(b.Slots),
		"--work", b.Work.String(), "--entries", strings.Join(entries, ","))
}

// OperatorAddresses returns the operator addresses of all controllers.
func (s *System) OperatorAddresses() string {
	var out []string
	for _, c := range s.Controllers {
		out = append(out, fmt.Sprintf("%s:%d", c.Address, OperatorPort))
	}
	return strings.Join(out, ",")
}

// Railctl runs the operators' tool and returns its output and exit code.
func (s *System) Railctl(arguments ...string) (string, int) {
	arguments = append([]string{"--controllers", s.OperatorAddresses()}, arguments...)
	command := exec.Command(filepath.Join(s.Programs, "railctl"), arguments...)
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	if err != nil {
		return err.Error(), -1
	}
	return string(out), 0
}

// Apply puts a catalogue in force and waits until every entry instance has it.
func (s *System) Apply(catalogue string) error {
	path, err := s.write("catalogue.ini", catalogue)
	if err != nil {
		return err
	}
	out, code := s.Railctl("--patience", "20s", "apply", "--watch", path)
	if code != 0 {
		return &ToolError{Code: code, Output: out}
	}
	return nil
}

// AwaitReady waits until a URL answers 200.
func AwaitReady(url string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(url)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return &TimeoutError{Awaited: url}
}

// CallerURL is the base address of entry instance i for callers.
func (s *System) CallerURL(i int) string {
	return fmt.Sprintf("http://%s:%d", s.address(entryNet, i), CallerPort)
}

// TargetURL is the address of target i.
func (s *System) TargetURL(i int) string {
	return fmt.Sprintf("http://%s:%d", s.address(targetNet, i), ServicePort)
}

// TimeoutError says that something did not happen in time.
type TimeoutError struct {
	Awaited string
}

// Error implements error.
func (e *TimeoutError) Error() string { return e.Awaited + " took too long" }

// ToolError is a failed call of the operators' tool.
type ToolError struct {
	Code   int
	Output string
}

// Error implements error.
func (e *ToolError) Error() string { return fmt.Sprintf("railctl ended with %d: %s", e.Code, e.Output) }

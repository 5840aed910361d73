// Package starter runs a small system of real processes on loopback addresses for the demo, the measurements, the soak
// runs and the failure tests. It ends only processes that it has started.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Every process has its own loopback address, so all processes of a kind use the same ports.
const (
	// ControlPort is used by controllers, for each other and for entry instances.
	ControlPort  = 7000
	OperatorPort = 7001
	CallerPort   = 8000
	// AnnouncementPort is where entry instances receive the announcements of targets.
	AnnouncementPort = 8001
	PeerPort         = 8002
	MetricsPort      = 8003
	// ServicePort is where targets receive requests.
	ServicePort = 9000

	folderMode = 0o750
	fileMode   = 0o640
	stopTime   = 15 * time.Second
)

// Process is a started process.
type Process struct {
	Name    string
	Address netip.Addr

	command *exec.Cmd
	done    chan struct{}
	err     error
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Freeze suspends the process (SIGSTOP).
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and returns without waiting.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Stop sends SIGTERM and waits until the process has ended. It returns the process's exit error, or a *TimeoutError if
// the process is still running after timeout.
func (p *Process) Stop(timeout time.Duration) error {
	p.Terminate()
	return p.Wait(timeout)
}

// Wait waits until the process has ended. It returns the process's exit error, or a *TimeoutError if the process is
// still running after timeout.
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

// System is a set of controllers, entry instances and targets. Set Programs, Folder, Net and Places, then call the
// start methods.
type System struct {
	// Programs is the folder that contains the built programs.
	Programs string
	// Folder receives settings, logs and data.
	Folder string
	// Net selects the addresses 127.Net.x.y, so that several systems can run at the same time.
	Net byte
	// Places are assigned in turn to the processes of each kind: process i gets element i modulo the length.
	Places []Place
	// AnswerLifetime is how long callers may keep look-up answers; the minimum is one second.
	AnswerLifetime time.Duration
	// LogSample is the entry instances' setting sample in section log; the minimum is 1.
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

const (
	// subnetVariable names the environment variable with a number from 0 to maxSubnet. Systems with different numbers have
	// different addresses, so that the tests of several checkouts can run at the same time.
	subnetVariable = "CHERVILRAIL_SUBNET"
	maxSubnet      = 63
	// subnetKinds is the number of networks in a subnet.
	subnetKinds = 4
)

var subnet = sync.OnceValue(func() byte {
	n, err := strconv.Atoi(os.Getenv(subnetVariable))
	if err != nil || n < 0 || n > maxSubnet {
		return 0
	}
	return byte(n)
})

func (s *System) address(kind byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.Net, subnetKinds*subnet() + kind, byte(i + 1)})
}

// Start starts a program and appends its output to the log file name.log in Folder.
func (s *System) Start(name, program string, address netip.Addr, arguments ...string) (*Process, error) {
	logs, err := os.OpenFile(filepath.Join(s.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(s.Programs, program), arguments...)
	command.Stdout, command.Stderr = logs, logs
	// The kernel kills the process when its parent dies, so an interrupted test leaves no processes behind.
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

// Close kills all processes that are still running.
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

// StartControllers creates a controller group on the first controller with the command "controller found", then starts
// all controllers.
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

// DataFolder returns the folder in which controller i stores its state.
func (s *System) DataFolder(i int) string {
	return filepath.Join(s.Folder, fmt.Sprintf("c%d.data", i+1))
}

// StartController starts or restarts controller i with the settings written by StartControllers.
func (s *System) StartController(i int) (*Process, error) {
	name := fmt.Sprintf("c%d", i+1)
	path := filepath.Join(s.Folder, name+".ini")
	p, err := s.Start(name, "controller", s.address(controllerNet, i), "run", "--config", path)
	if err == nil && i < len(s.Controllers) {
		s.Controllers[i] = p
	}
	return p, err
}

// StartEntries starts entry instances that connect to the started controllers.
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

// StartEntry starts or restarts entry instance i.
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

// TargetSettings describe a target to start: its service, its number of concurrent requests and the time that a request
// takes.
type TargetSettings struct {
	Service string
	Slots   int
	Work    time.Duration
}

// StartTarget starts a target and passes it the addresses of all started entry instances for its announcements.
func (s *System) StartTarget(settings TargetSettings) (*Process, error) {
	i := len(s.Targets)
	p, err := s.startTarget(i, settings)
	if err == nil {
		s.Targets = append(s.Targets, p)
	}
	return p, err
}

// RestartTarget starts target i again under the same name, with a new incarnation.
func (s *System) RestartTarget(i int, settings TargetSettings) error {
	p, err := s.startTarget(i, settings)
	if err == nil {
		s.Targets[i] = p
	}
	return err
}

func (s *System) startTarget(i int, settings TargetSettings) (*Process, error) {
	name := fmt.Sprintf("u%d", i+1)
	address := s.address(targetNet, i)
	place := s.place(i)
	var entries []string
	for _, e := range s.Entries {
		entries = append(entries, fmt.Sprintf("%s:%d", e.Address, AnnouncementPort))
	}
	return s.Start(name, "standin", address, "target",
		"--name", name, "--service", settings.Service, "--address", fmt.Sprintf("%s:%d", address, ServicePort),
		"--region", place.Region, "--zone", place.Zone, "--slots", fmt.Sprint(settings.Slots),
		"--work", settings.Work.String(), "--entries", strings.Join(entries, ","))
}

// OperatorAddresses returns the operator addresses of all controllers, separated by commas.
func (s *System) OperatorAddresses() string {
	var out []string
	for _, c := range s.Controllers {
		out = append(out, fmt.Sprintf("%s:%d", c.Address, OperatorPort))
	}
	return strings.Join(out, ",")
}

// Railctl runs railctl against the controllers. It returns its output and its exit code, -1 if it could not be run.
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

// Apply applies a catalogue and waits until it is in force on every entry instance. It returns a *ToolError if railctl
// fails.
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

// AwaitReady waits until a GET of url is answered with 200. It returns a *TimeoutError if that takes longer than
// timeout.
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

// CallerURL returns the base URL of entry instance i for callers.
func (s *System) CallerURL(i int) string {
	return fmt.Sprintf("http://%s:%d", s.address(entryNet, i), CallerPort)
}

// TargetURL returns the base URL of target i.
func (s *System) TargetURL(i int) string {
	return fmt.Sprintf("http://%s:%d", s.address(targetNet, i), ServicePort)
}

// TimeoutError reports that a process or condition did not reach the awaited state in time.
type TimeoutError struct {
	Awaited string
}

// Error implements error.
func (e *TimeoutError) Error() string { return e.Awaited + ": timed out" }

// ToolError reports a failed run of railctl.
type ToolError struct {
	Code   int
	Output string
}

// Error implements error.
func (e *ToolError) Error() string {
	return fmt.Sprintf("railctl exited with code %d: %s", e.Code, e.Output)
}

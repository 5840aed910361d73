package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments, in seconds as their sheets give them.
const (
	contact     = 4 * time.Second
	configApply = 2500 * time.Millisecond
	evacuation  = 5 * time.Second
	drain       = 2500 * time.Millisecond
	// lead is how long the machines run before traffic starts.
	lead = 8 * time.Second

	heartbeat = 1500 * time.Millisecond

	frontMemoryMB = 284
	coreMemoryMB  = 280
	descriptors   = 4096
	// restartDelay is how long the platform waits before it restarts a process that has ended.
	restartDelay = 300 * time.Millisecond
)

var zones = []string{"alpha-a", "beta-a", "gamma-a", "alpha-b", "beta-b", "gamma-b"}

func regionOf(zone string) string { return zone[:len(zone)-2] }

// frontZones and coreZones are where the machines stand: 8 and 5, as in the small deployments.
var (
	frontZones = []string{"alpha-a", "alpha-a", "beta-a", "beta-a", "gamma-a", "alpha-b", "beta-b", "gamma-b"}
	coreZones  = []string{"alpha-a", "beta-a", "gamma-a", "alpha-b", "beta-b"}
)

type ports struct{ control, directory, frontend, readiness, internal int }

// deployment is the machines of one case, each with one process, and the platform that runs them.
type deployment struct {
	record *record
	folder string
	net    int
	ports  ports
	fronts []*machine
	cores  []*machine
	http   caller

	// sentTo holds the front node to which each client attempt was sent, by the attempt's id.
	sentTo sync.Map

	mu     sync.Mutex
	closed bool
	ends   []string
	// kills counts how often the platform has killed a machine's process for its memory.
	kills  map[string]int
	closer []func()
	wait   sync.WaitGroup
}

type machine struct {
	d      *deployment
	name   string
	zone   string
	ip     string
	core   bool
	memory int

	mu       sync.Mutex
	started  bool
	process  *os.Process
	running  bool
	expected bool
}

func newDeployment(r *record) (*deployment, error) {
	for _, program := range []string{"target/entry", "target/controller"} {
		if _, err := os.Stat(program); err != nil {
			return nil, fmt.Errorf("the deploy file's build is missing: %w", err)
		}
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder}
	for range 50 {
		d.net = 20 + rand.IntN(200)
		base := 20000 + rand.IntN(30000)
		d.ports = ports{base, base + 1, base + 2, base + 3, base + 4}
		if d.free() {
			d.layOut()
			return d, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// address returns a loopback address of the case's network.
func (d *deployment) address(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, group, n)
}

func (d *deployment) free() bool {
	for _, ip := range []string{d.address(1, 1), d.address(2, 1)} {
		for _, port := range []int{d.ports.control, d.ports.directory, d.ports.frontend, d.ports.readiness, d.ports.internal, 9464} {
			socket, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = socket.Close()
		}
	}
	return true
}

func (d *deployment) layOut() {
	for i, zone := range coreZones {
		d.cores = append(d.cores, &machine{d: d, name: "core-" + zone + "-1", zone: zone, ip: d.address(1, i+1), core: true, memory: coreMemoryMB})
	}
	for i, zone := range frontZones {
		d.fronts = append(d.fronts, &machine{
			d: d, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: d.address(2, i+1), memory: frontMemoryMB,
		})
	}
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (d *deployment) controls() []string {
	var out []string
	for _, m := range d.cores {
		out = append(out, join(m.ip, d.ports.control))
	}
	return out
}

func (d *deployment) directories() []string {
	var out []string
	for _, m := range d.cores {
		out = append(out, join(m.ip, d.ports.directory))
	}
	return out
}

func (m *machine) frontend() string { return join(m.ip, m.d.ports.frontend) }

// settings are the fields that the platform hands to a process.
func (m *machine) settings(bootstrap bool) map[string]any {
	d := m.d
	regions := map[string]any{}
	for _, zone := range zones {
		regions[zone] = regionOf(zone)
	}
	out := map[string]any{
		"node": m.name, "region": regionOf(m.zone), "zone": m.zone, "ip": m.ip, "bootstrap": bootstrap,
		"seeds": []any{d.controls()[0], d.controls()[1], d.controls()[2]}, "zones": regions,
		"internalPorts": []any{d.ports.internal, d.ports.internal + 15},
		"limits":        map[string]any{"memoryMb": m.memory, "maxFds": descriptors},
		"terms":         map[string]any{"bounds": map[string]any{}},
	}
	if m.core {
		out["dataDir"] = filepath.Join(d.folder, m.name, "data")
		out["listen"] = map[string]any{"control": join(m.ip, d.ports.control), "directory": join(m.ip, d.ports.directory)}
		return out
	}
	out["listen"] = map[string]any{"frontend": m.frontend(), "readiness": join(m.ip, d.ports.readiness)}
	return out
}

// start renders the machine's settings and starts its process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	folder := filepath.Join(m.d.folder, m.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o750); err != nil {
		return err
	}
	template, program := "deploy/entry.ini", "target/entry"
	if m.core {
		template, program = "deploy/controller.ini", "target/controller"
	}
	data, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	settings, err := render(string(data), m.settings(!m.started))
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "local.conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILRAIL_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.started, m.process, m.running, m.expected = true, command.Process, true, false
	m.d.record.add(m.name, "started as process %d", command.Process.Pid)
	m.d.wait.Go(func() { m.watch(command) })
	return nil
}

// watch waits for the end of the process, and restarts it if it ended by itself.
func (m *machine) watch(command *exec.Cmd) {
	err := command.Wait()
	m.mu.Lock()
	m.running = false
	expected := m.expected
	m.mu.Unlock()
	m.d.mu.Lock()
	closed := m.d.closed
	if !closed && !expected && m.d.kills[m.name] == 0 {
		m.d.ends = append(m.d.ends, m.name)
	}
	m.d.mu.Unlock()
	if closed {
		return
	}
	m.d.record.add(m.name, "ended: %v", err)
	if expected {
		return
	}
	time.Sleep(restartDelay)
	if !m.d.isClosed() {
		if err := m.start(); err != nil {
			m.d.record.add("error", "%s: %v", m.name, err)
		}
	}
}

func (m *machine) signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return errors.New(m.name + " doesn't run")
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected = true
	}
	m.d.record.add(m.name, "gets %v", s)
	return m.process.Signal(s)
}

func (d *deployment) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

func (d *deployment) noteKill(m *machine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kills == nil {
		d.kills = map[string]int{}
	}
	d.kills[m.name]++
}

func (d *deployment) killCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, n := range d.kills {
		total += n
	}
	return total
}

func (d *deployment) unexpectedEnds() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ends) > 0 {
		return fmt.Errorf("processes ended by themselves: %v", d.ends)
	}
	return nil
}

// startAll starts all machines at once.
func (d *deployment) startAll() error {
	for _, m := range append(append([]*machine{}, d.cores...), d.fronts...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// onEnd registers what has to be closed at the end of the case.
func (d *deployment) onEnd(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closer = append(d.closer, f)
}

// end ends all processes that the case has started and removes its folder.
func (d *deployment) end() {
	d.mu.Lock()
	d.closed = true
	closer := d.closer
	d.mu.Unlock()
	for _, f := range closer {
		f()
	}
	for _, m := range append(append([]*machine{}, d.cores...), d.fronts...) {
		m.mu.Lock()
		if m.running {
			_ = m.process.Signal(syscall.SIGCONT)
			_ = m.process.Kill()
		}
		m.mu.Unlock()
	}
	d.wait.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		d.record.add("case", "folder kept: %s", d.folder)
		fmt.Println(d.folder)
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the availability zones of the deployment, with their regions.
var zones = [][2]string{
	{"almaty-a", "almaty"}, {"astana-a", "astana"}, {"shymkent-a", "shymkent"},
	{"almaty-b", "almaty"}, {"astana-b", "astana"}, {"shymkent-b", "shymkent"},
}

const (
	controllerMemory = 280 // MB, as on the sheet of the deployment
	entryMemory      = 284 // MB
	restartDelay     = 300 * time.Millisecond
)

// ports are the ports of a deployment; they are the same on all its addresses.
type ports struct{ internal, operator, control, directory, frontend, ready int }

// process is one process of the system, kept running by the deployment.
type process struct {
	name     string
	address  string
	program  string
	settings string
	memory   int // MB
	// bootstrap is set at the first start of the whole system.
	bootstrap bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	keep    bool
	ended   chan struct{}
	starts  int
	overMem int
	peak    int
}

// deployment stands for the platform: it writes settings files, starts processes, starts them again when they end, and
// kills those that use more memory than their machine has.
type deployment struct {
	root     string
	folder   string
	base     string
	ports    ports
	controls []*process
	entries  []*process
	record   *record
	stop     chan struct{}
	group    sync.WaitGroup
}

func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, record: r, stop: make(chan struct{})}
	for range 50 {
		d.base = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if d.ports, err = freePorts(d.base); err == nil {
			return d, nil
		}
	}
	return nil, err
}

// freePorts finds six ports that are free on the addresses of a base.
func freePorts(base string) (ports, error) {
	var list []int
	var sockets []net.Listener
	defer func() {
		for _, s := range sockets {
			_ = s.Close()
		}
	}()
	for range 6 {
		s, err := net.Listen("tcp", base+"1:0")
		if err != nil {
			return ports{}, err
		}
		sockets = append(sockets, s)
		port := s.Addr().(*net.TCPAddr).Port
		for i := 2; i < 20; i++ {
			other, err := net.Listen("tcp", base+strconv.Itoa(i)+":"+strconv.Itoa(port))
			if err != nil {
				return ports{}, err
			}
			_ = other.Close()
		}
		list = append(list, port)
	}
	return ports{list[0], list[1], list[2], list[3], list[4], list[5]}, nil
}

func (d *deployment) seeds() string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("%s%d:%d", d.base, 1+i, d.ports.control))
	}
	return strings.Join(out, ",")
}

// controlURLs are the addresses at which the operator and the servers call.
func (d *deployment) controlURLs() []string {
	var out []string
	for _, p := range d.controls {
		out = append(out, fmt.Sprintf("http://%s:%d", p.address, d.ports.control))
	}
	return out
}

func (d *deployment) entryAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.entries[i].address, d.ports.frontend)
}

func (d *deployment) addController() *process {
	i := len(d.controls)
	p := &process{
		name: fmt.Sprintf("controller-%d", i+1), address: fmt.Sprintf("%s%d", d.base, 1+i), program: "target/controller",
		memory: controllerMemory, bootstrap: true,
	}
	d.controls = append(d.controls, p)
	return p
}

func (d *deployment) addEntry() *process {
	i := len(d.entries)
	p := &process{
		name: fmt.Sprintf("entry-%d", i+1), address: fmt.Sprintf("%s%d", d.base, 11+i), program: "target/entry",
		memory: entryMemory, bootstrap: true,
	}
	d.entries = append(d.entries, p)
	return p
}

// text returns the settings of a process, as deploy/controller.ini and deploy/entry.ini lay them out.
func (d *deployment) text(p *process) string {
	var b strings.Builder
	if p.program == "target/entry" {
		zone := zones[index(d.entries, p)%len(zones)]
		fmt.Fprintf(&b, "[entry]\nname = %s\nregion = %s\nzone = %s\n\n", p.name, zone[1], zone[0])
		fmt.Fprintf(&b, "[listen]\ncaller = %s:%d\nready = %s:%d\npeer = %s:%d\noperator = %s:%d\n\n",
			p.address, d.ports.frontend, p.address, d.ports.ready, p.address, d.ports.internal, p.address, d.ports.operator)
		fmt.Fprintf(&b, "[seeds]\naddresses = %s\nport = %d\n\n[memory]\nlimit = %d\n\n", d.seeds(), d.ports.internal, p.memory)
		b.WriteString("[timing]\nanswer = 2500ms\npatience = 5500ms\n\n[log]\nformat = logfmt\nlevel = info\n")
		return b.String()
	}
	zone := zones[index(d.controls, p)%len(zones)]
	fmt.Fprintf(&b, "[controller]\nregion = %s\nzone = %s\nfolder = %s\n\n", zone[1], zone[0], d.dataFolder(p))
	fmt.Fprintf(&b, "[listen]\ncontrol = %s:%d\noperator = %s:%d\ncallers = %s:%d\ndirectory = %s:%d\n\n",
		p.address, d.ports.internal, p.address, d.ports.operator, p.address, d.ports.control, p.address, d.ports.directory)
	fmt.Fprintf(&b, "[seeds]\naddresses = %s\n", d.seeds())
	if p.bootstrap {
		b.WriteString("found = yes\n")
	}
	b.WriteString("\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %s\n", z[0], z[1])
	}
	b.WriteString("\n[timing]\nelection = 1s\nheartbeat = 200ms\nreplace = 2s\nlease = 3s\npatience = 4s\n\n")
	fmt.Fprintf(&b, "[memory]\nlimit = %d\n\n[descriptors]\nlimit = 4096\n\n[log]\nformat = logfmt\nlevel = info\n", p.memory)
	return b.String()
}

func index(list []*process, p *process) int {
	for i, o := range list {
		if o == p {
			return i
		}
	}
	return 0
}

func (d *deployment) dataFolder(p *process) string { return filepath.Join(d.folder, "data", p.name) }

// start starts a process and keeps it running.
func (d *deployment) start(p *process) error {
	if err := os.MkdirAll(d.dataFolder(p), 0o755); err != nil {
		return err
	}
	p.settings = filepath.Join(d.folder, p.name+".ini")
	p.mu.Lock()
	p.keep = true
	p.mu.Unlock()
	if err := d.launch(p); err != nil {
		return err
	}
	d.group.Add(1)
	go d.watch(p)
	return nil
}

// launch starts a process once.
func (d *deployment) launch(p *process) error {
	if err := os.WriteFile(p.settings, []byte(d.text(p)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(d.root, p.program), "run")
	cmd.Dir = d.root
	cmd.Env = append(os.Environ(), "CHERVILRAIL_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, make(chan struct{})
	p.starts++
	ended := p.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// watch starts a process again when it has ended, and kills it when it uses more memory than its machine has.
func (d *deployment) watch(p *process) {
	defer d.group.Done()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		p.mu.Lock()
		ended, cmd, keep := p.ended, p.cmd, p.keep
		p.mu.Unlock()
		select {
		case <-d.stop:
			return
		case <-ended:
			if !keep {
				return
			}
			d.record.note("%s has ended (%v); the platform starts it again", p.name, cmd.ProcessState)
			p.bootstrap = false
			time.Sleep(restartDelay)
			select {
			case <-d.stop:
				return
			default:
			}
			if err := d.launch(p); err != nil {
				d.record.note("%s does not start: %v", p.name, err)
				return
			}
		case <-ticker.C:
			used := residentMemory(cmd.Process.Pid)
			p.mu.Lock()
			p.peak = max(p.peak, used)
			p.mu.Unlock()
			if used > p.memory {
				d.record.note("%s uses %d MB of %d MB: the platform kills it", p.name, used, p.memory)
				p.mu.Lock()
				p.overMem++
				p.mu.Unlock()
				_ = cmd.Process.Kill()
				<-ended
			}
		}
	}
}

// residentMemory returns how much memory of its own a process uses, in MB: without its program file.
func residentMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to a process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// close ends all processes.
func (d *deployment) close() {
	close(d.stop)
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		p.mu.Lock()
		p.keep = false
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		ended := p.ended
		p.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	d.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept:", d.folder)
	}
}

package starter

import (
	"cmp"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Ports used with the protocol of the users' platform.
const (
	// PlatformPort is where controllers accept the platform's calls from operators, targets and clients.
	PlatformPort = 7002
	readyPort    = 8004
	seedCount    = 3
	defaultGrace = 6 * time.Second
)

// PlatformSystem is a System with the protocol of the users' platform: its controller group is founded by seed
// controllers, and its entry instances route requests according to a plan.
type PlatformSystem struct {
	*System
	// Grace is the time from SIGTERM to the kill in the settings of all processes; zero stands for defaultGrace. Timing are
	// further lines of the section [timing] of entry instances.
	Grace  time.Duration
	Timing string
	// Seeds are the platform addresses of the seed controllers, set by StartPlatformSystem.
	Seeds []string
}

// StartPlatformSystem starts controllers and entry instances. The first controllers, three at most, are the seeds.
func (s *PlatformSystem) StartPlatformSystem(controllers, entries int) error {
	for i := range min(controllers, seedCount) {
		s.Seeds = append(s.Seeds, fmt.Sprintf("%s:%d", s.address(controllerNet, i), PlatformPort))
	}
	for i := range controllers {
		if err := s.StartPlatformController(i, true); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.StartPlatformEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatformController starts or restarts controller i. Set initial only at the first start of the whole system: the
// seeds then found a new controller group.
func (s *PlatformSystem) StartPlatformController(i int, initial bool) error {
	name := fmt.Sprintf("c%d", i+1)
	address := s.address(controllerNet, i)
	place := s.place(i)
	found := "no"
	if initial {
		found = "yes"
	}
	path, err := s.write(name+".ini", fmt.Sprintf(`[controller]
region = %s
zone = %s
folder = %s

[listen]
control = %s:%d
operator = %s:%d
callers = %s:%d

[seeds]
addresses = %s
found = %s

[zones]
%s
[timing]
election = 600ms
heartbeat = 100ms
replace = 2s
lease = 4s
grace = %s
`, place.Region, place.Zone, s.DataFolder(i), address, ControlPort, address, OperatorPort, address, PlatformPort,
		strings.Join(s.Seeds, ", "), found, s.zones(), s.grace()))
	if err != nil {
		return err
	}
	p, err := s.Start(name, "controller", address, "run", "--config", path)
	if err != nil {
		return err
	}
	set(&s.Controllers, i, p)
	return nil
}

func (s *PlatformSystem) grace() time.Duration { return cmp.Or(s.Grace, defaultGrace) }

func (s *PlatformSystem) zones() string {
	out := ""
	for _, p := range s.Places {
		out += p.Zone + " = " + p.Region + "\n"
	}
	return out
}

// EntryMemory is the memory limit in the settings of entry instances, in MB.
const EntryMemory = 284

// StartPlatformEntry starts or restarts entry instance i.
func (s *PlatformSystem) StartPlatformEntry(i int) error {
	name := fmt.Sprintf("e%d", i+1)
	address := s.address(entryNet, i)
	place := s.place(i)
	path, err := s.write(name+".ini", fmt.Sprintf(`[entry]
name = %s
region = %s
zone = %s

[listen]
caller = %s:%d
ready = %s:%d
peer = %s:%d
operator = %s:%d

[seeds]
addresses = %s
port = %d

[memory]
limit = %d

[timing]
grace = %s
%s`, name, place.Region, place.Zone, address, CallerPort, address, readyPort, address, PeerPort, address,
		MetricsPort,
		strings.Join(s.Seeds, ", "), ControlPort, EntryMemory, s.grace(), s.Timing))
	if err != nil {
		return err
	}
	p, err := s.Start(name, "entry", address, "run", "--config", path)
	if err != nil {
		return err
	}
	set(&s.Entries, i, p)
	return nil
}

// set sets an element of a list, or appends it. The list itself is written only then, as restarts overlap.
func set(list *[]*Process, i int, p *Process) {
	if i < len(*list) {
		(*list)[i] = p
		return
	}
	*list = append(*list, p)
}

// PlatformURLs returns the base URLs of all controllers for the platform's calls.
func (s *PlatformSystem) PlatformURLs() []string {
	var out []string
	for i := range s.Controllers {
		out = append(out, "http://"+s.PlatformAddress(i))
	}
	return out
}

// PlatformAddress returns the address of controller i for the platform's calls.
func (s *PlatformSystem) PlatformAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.address(controllerNet, i), PlatformPort)
}

// LogFile returns the path of a process's log file.
func (s *PlatformSystem) LogFile(name string) string { return filepath.Join(s.Folder, name+".log") }

// ReadyAddress returns the address at which entry instance i reports whether it is ready.
func (s *PlatformSystem) ReadyAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.address(entryNet, i), readyPort)
}

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	// bigConfig is how many routes one big_config adds at most on the deployment's sheet.
	bigConfig = 350
	// recovery is recoveryS of the deployment's sheet.
	recovery = 15 * time.Second
	// patience is how long the operator sends a change again and again, three times ackTimeoutS.
	patience = 12 * time.Second
	// changesTime is the time for all changes; the script has to end within 120 s.
	changesTime = 88 * time.Second
	// endsOfFault is how often processes may not end by themselves on a part of the machines.
	endsOfFault = 3
)

// startAll starts the controllers and entry instances of a small deployment.
func (d *deployment) startAll(controllers, entries int) error {
	for range controllers {
		d.addController()
	}
	for range entries {
		d.addEntry()
	}
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		if err := d.start(p); err != nil {
			return err
		}
	}
	return nil
}

// grow returns a configuration with a number of routes more.
func grow(version, base, routes int) *plan {
	p := newPlan(version, base)
	for n := range routes {
		p.Routes = append(p.Routes, newRoute(fmt.Sprintf("r-big%05d", n), fmt.Sprintf("/big%05d/", n), "safe", "wuno96b"))
	}
	return p
}

// change sends the changes of a day, each a complete configuration on top of the one before, and returns the last
// acknowledged version and whether all were acknowledged. The first ones are big_configs.
func (d *deployment) change(o *operator, bigConfigs, changes int) (version int, all bool) {
	version = 1
	for end := time.Now().Add(changesTime); version <= changes; {
		if time.Now().After(end) {
			return version, false
		}
		p := grow(version+1, version, bigConfig*min(version, bigConfigs))
		p.Routes[0].Timeout = 2 + float64(version%10)/10 // what the change changes
		body := p.encode()
		status, text := o.order("config.put", body, min(patience, time.Until(end)))
		if status != 200 {
			d.record.note("change r%d of %d bytes is not acknowledged: %d %.200s", version+1, len(body), status, text)
			return version, false
		}
		version++
		if version%50 == 0 {
			d.record.note("r%d acknowledged, %d bytes; memory in MB:%s", version, len(body), d.memory())
		}
	}
	return version, true
}

// memory lists the memory that the controllers use, and the most that they have used.
func (d *deployment) memory() string {
	out := ""
	for _, p := range d.controls {
		p.mu.Lock()
		out += fmt.Sprintf(" %d (%d)", residentMemory(p.cmd.Process.Pid), p.peak)
		p.mu.Unlock()
	}
	return out
}

// ended reports whether processes have ended by themselves as often as the rule names, not counting one: on a tenth of
// the machines in use, two at least.
func (d *deployment) ended(other *process) bool {
	machines, count := append(append([]*process{}, d.controls...), d.entries...), 0
	for _, p := range machines {
		p.mu.Lock()
		if p != other && p.overMem >= endsOfFault {
			count++
		}
		p.mu.Unlock()
	}
	return count >= max(2, (len(machines)+9)/10)
}

// noteProcesses records how much memory the controllers used and how often they were started.
func (d *deployment) noteProcesses() {
	for _, p := range d.controls {
		p.mu.Lock()
		d.record.note("%s: at most %d MB, started %d times, over its memory %d times", p.name, p.peak, p.starts, p.overMem)
		p.mu.Unlock()
	}
}

// prepare starts the deployment and puts the first configuration in force.
func prepare(r *record) (*deployment, *operator, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, nil, err
	}
	if err := d.startAll(5, 2); err != nil {
		d.close()
		return nil, nil, err
	}
	o := &operator{urls: d.controlURLs}
	if status, _ := o.order("config.put", newPlan(1, 0).encode(), 20*time.Second); status != 200 {
		d.close()
		return nil, nil, fmt.Errorf("the first configuration is answered %d", status)
	}
	r.note("r1 acknowledged")
	return d, o, nil
}

// changes is a day of some hundred changes. With the disruption, the first twelve make the configuration grow by many
// routes.
func changes(r *record, trouble bool) int {
	d, o, err := prepare(r)
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer d.close()
	bigConfigs := 0
	if trouble {
		bigConfigs = 12
	}
	const count = 900
	version, all := d.change(o, bigConfigs, count)
	began := time.Now()
	got := o.version(recovery)
	r.note("acknowledged up to r%d, read back %q after %.1f s", version, got, time.Since(began).Seconds())
	d.noteProcesses()
	// A change that got no clear answer may or may not be in force.
	if got != fmt.Sprintf("r%d", version) && got != fmt.Sprintf("r%d", version+1) {
		r.note("CONFIG: the acknowledged configuration can't be read back")
		return broken
	}
	if d.ended(nil) {
		r.note("Fault: processes ended by themselves three times on two machines or more")
		return broken
	}
	if !all {
		r.note("the changes took too long for this script")
		return failed
	}
	return held
}

// lostDisk is a day of some hundred changes, the first twelve of which make the configuration grow by many routes. With
// the disruption, one controller then loses its disk.
func lostDisk(r *record, trouble bool) int {
	d, o, err := prepare(r)
	if err != nil {
		r.note("%v", err)
		return failed
	}
	defer d.close()
	const count = 400
	version, all := d.change(o, 12, count)
	if !all {
		r.note("the changes took too long for this script")
		return failed
	}
	lost := d.controls[1]
	if trouble {
		r.note("r%d acknowledged; %s loses its disk", version, lost.name)
		lost.signal(syscall.SIGKILL)
		time.Sleep(50 * time.Millisecond)
		if err := os.RemoveAll(d.dataFolder(lost)); err != nil {
			return failed
		}
		if err := os.MkdirAll(d.dataFolder(lost), 0o755); err != nil {
			return failed
		}
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		began := time.Now()
		got := o.version(4 * time.Second)
		r.note("read back %q after %.1f s; memory in MB:%s", got, time.Since(began).Seconds(), d.memory())
	}
	d.noteProcesses()
	if d.ended(lost) {
		r.note("Fault: processes ended by themselves three times on two machines or more")
		return broken
	}
	return held
}

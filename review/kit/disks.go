package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// catchUp is how long a machine still counts as lost after it is back.
	catchUp = 4 * time.Second
	// settle is kept beyond catchUp before the next machine is lost.
	settle = 400 * time.Millisecond
	// recovery is the longest time after which the system has to serve again.
	recovery = 15 * time.Second
)

// disksLost has machines of the core lose their disks, one at a time: the next one only after the one before has been
// back, with an empty disk, for longer than catchUpS. The rule CONFIG is broken if the acknowledged configuration can't
// be read back recoveryS after the last one.
func disksLost(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	if _, err := startServices(ctx, d); err != nil {
		return false, err
	}
	routes := []route{newRoute("moved", "first", "safe"), newRoute("stays", "second", "safe")}
	status, err := d.order(ctx, "config.put", "", firstConfig(routes, "first", "second"), 20*time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: %d %v", status, err)
	}
	time.Sleep(lead)
	if status, err = d.order(ctx, "config.get", "", nil, 4*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("reading before the disruption: %d %v", status, err)
	}
	lost := map[*machine]bool{}
	for i := range 3 {
		if !trouble {
			time.Sleep(catchUp + settle + restartDelay)
			continue
		}
		// The second one is the leader of that moment; the others are any that have not been lost.
		victim := d.other(lost, i == 1)
		if victim == nil {
			return false, errors.New("no leader is known")
		}
		lost[victim] = true
		d.record.add("step", "%s loses its disk", victim.name)
		if err := victim.loseDisk(); err != nil {
			return false, err
		}
		d.record.add("step", "%s is back", victim.name)
		time.Sleep(catchUp + settle)
	}
	last := time.Now()
	change := patch{Version: "r7", Base: "r3"}
	change.Upsert.Routes = []route{newRoute("moved", "second", "safe")}
	status, err = d.order(ctx, "config.patch", "", change, recovery)
	d.record.add("step", "a change after that: %d %v", status, err)
	time.Sleep(time.Until(last.Add(recovery)))
	status, err = d.order(ctx, "config.get", "", nil, 2*contact)
	d.record.add("step", "reading the configuration %.0f s after the last machine counts as back: %d %v",
		time.Since(last).Seconds(), status, err)
	return err != nil || status != http.StatusOK, nil
}

// loseDisk kills the machine's process, empties its disk, and starts the process again.
func (m *machine) loseDisk() error {
	if err := m.signal(syscall.SIGKILL); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	if err := os.RemoveAll(filepath.Join(m.d.folder, m.name, "data")); err != nil {
		return err
	}
	if err := m.start(); err != nil {
		return err
	}
	return m.awaitListening()
}

// awaitListening waits until the machine's process listens.
func (m *machine) awaitListening() error {
	for range 100 {
		conn, err := net.DialTimeout("tcp", join(m.ip, m.d.ports.control), time.Second)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(m.name + " doesn't listen")
}

// other returns a machine of the core that is not among the lost ones: the leader, or one that does not lead.
func (d *deployment) other(lost map[*machine]bool, leading bool) *machine {
	for _, m := range d.cores {
		if !lost[m] && m.leads() == leading {
			return m
		}
	}
	return nil
}

// leads reports whether the machine's own metrics say that it leads.
func (m *machine) leads() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + join(m.ip, 9464) + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "chervilrail_controller_leads "); found {
			return value == "1"
		}
	}
	return false
}

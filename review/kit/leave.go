package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// stay is how long the upstream serves after the acknowledgement of its leave.
	stay = 20 * time.Second
	// back is how long the core's processes are down.
	back = 300 * time.Millisecond
)

// leaveForgotten has an upstream leave without a draining state before; it goes on serving for some seconds. All
// processes of the core are killed at the moment of the acknowledgement and are back within a second, with their disks.
// The rule DRAIN is broken if front nodes in touch still send requests to the upstream after drainTimeoutS.
func leaveForgotten(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	upstreams, err := startServices(ctx, d)
	if err != nil {
		return false, err
	}
	for _, u := range upstreams {
		u.work = 100 * time.Millisecond
	}
	routes := []route{newRoute("browse", "first", "safe"), newRoute("pay", "second", "unsafe")}
	status, err := d.order(ctx, "config.put", "", firstConfig(routes, "first", "second"), 20*time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: %d %v", status, err)
	}
	time.Sleep(lead)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	clients := &crowd{d: d}
	clients.start(traffic, 120, 180, func() (string, string, []byte) {
		return http.MethodPost, "/pay/x", []byte("a seat")
	}, 2*time.Second)
	time.Sleep(contact)
	leaver := upstreams[2]
	if n := len(leaver.since(time.Now().Add(-contact))); n == 0 {
		return false, errors.New("the upstream got no requests before it left")
	}
	leaver.silent.Store(true)
	acknowledged, err := leaver.leave(ctx)
	if err != nil {
		return false, err
	}
	if trouble {
		for _, m := range d.cores {
			if err := m.signal(syscall.SIGKILL); err != nil {
				return false, err
			}
		}
	}
	d.record.add("step", "%s of %s in %s has the acknowledgement of its leave", leaver.id, leaver.service, leaver.zone)
	if trouble {
		time.Sleep(back)
		for _, m := range d.cores {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		d.record.add("step", "all processes of the core were killed and are back")
	}
	// From here on the core is stable and the front nodes are in touch.
	judged := time.Now().Add(contact + time.Second)
	judged = later(judged, acknowledged.Add(drain+200*time.Millisecond))
	time.Sleep(time.Until(acknowledged.Add(stay)))
	late := leaver.since(judged)
	_ = leaver.server.Close()
	d.record.add("step", "%s has ended", leaver.id)
	time.Sleep(2 * time.Second)
	stop()
	for _, a := range late {
		d.record.add("late", "request %s was run by %s at %.3f", a.id, leaver.id, d.record.at(a.at))
	}
	recovered := leaver.since(acknowledged.Add(back + recovery))
	d.record.add("step", "requests that the upstream ran later than %.1f s after the acknowledgement: %d; later than recoveryS: %d; without its answer: %d",
		judged.Sub(acknowledged).Seconds(), len(late), len(recovered), clients.unanswered(leaver, judged))
	return len(late) > 0, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unanswered counts the requests that an upstream ran after a time and whose client did not get a success.
func (c *crowd) unanswered(u *upstream, after time.Time) int {
	ran := map[string]bool{}
	for _, a := range u.since(after) {
		ran[a.id] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, a := range c.attempts {
		if ran[a.id] && (a.err != nil || a.status != http.StatusOK) {
			count++
		}
	}
	return count
}

// leave tells a node that the upstream leaves, the next one after each failure, and returns when that was acknowledged.
func (u *upstream) leave(ctx context.Context) (time.Time, error) {
	body, err := json.Marshal(map[string]any{"born": u.born, "sequence": u.sequence.Add(1)})
	if err != nil {
		return time.Time{}, err
	}
	for _, node := range u.d.controls() {
		status, answer, err := u.d.http.post(ctx, node, "instances.leave", u.id, body)
		u.d.record.add(u.id, "leave at %s: %d %s %v", node, status, answer, err)
		if err == nil && status >= 200 && status <= 299 {
			return time.Now(), nil
		}
	}
	return time.Time{}, errors.New("the leave was not acknowledged")
}

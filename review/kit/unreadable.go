package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// readyTries is how often the front nodes are tried before the disruption, once a second.
const readyTries = 20

// unreadableID has a foreign writer send heartbeats whose id is bytes that can't be read, to one node of the core after
// the other. Then the operator moves a route to another service and evacuates a zone. The rule CONFIG is broken if a
// front node in touch still has the route served by the old service configApplyS after the acknowledgement.
func unreadableID(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	upstreams, err := startServices(ctx, d)
	if err != nil {
		return false, err
	}
	routes := []route{newRoute("moved", "first", "safe"), newRoute("stays", "second", "safe")}
	status, err := d.order(ctx, "config.put", "", firstConfig(routes, "first", "second"), 20*time.Second)
	if err != nil || status != 200 {
		return false, fmt.Errorf("first configuration: %d %v", status, err)
	}
	time.Sleep(lead)
	client := &http.Client{Transport: &http.Transport{}}
	served := probeAll(ctx, d, client, "/moved/", "first")
	for i := 0; i < readyTries && served.wrong+served.failed > 0; i++ {
		time.Sleep(time.Second)
		served = probeAll(ctx, d, client, "/moved/", "first")
	}
	if served.wrong+served.failed > 0 {
		return false, fmt.Errorf("before the disruption: %+v", served)
	}
	d.record.add("step", "all front nodes serve the route by the first service")
	if trouble {
		if err := writeForeign(ctx, d); err != nil {
			return false, err
		}
	} else {
		time.Sleep(time.Duration(len(d.cores)) * heartbeat)
	}
	time.Sleep(contact)

	change := patch{Version: "r7", Base: "r3"}
	change.Upsert.Routes = []route{newRoute("moved", "second", "safe")}
	status, err = d.order(ctx, "config.patch", "", change, 4*time.Second)
	if err != nil || status != 200 {
		return false, fmt.Errorf("change: %d %v", status, err)
	}
	acknowledged := time.Now()
	d.record.add("step", "the operator's change is acknowledged")
	time.Sleep(time.Until(acknowledged.Add(configApply + 100*time.Millisecond)))
	var after probes
	for range 5 {
		after.add(probeAll(ctx, d, client, "/moved/", "second"))
		time.Sleep(time.Second)
	}
	d.record.add("step", "sent later than configApplyS after it: %d by the new service, %d by the old one, %d failed",
		after.right, after.wrong, after.failed)
	if after.right == 0 && after.wrong == 0 {
		return false, errors.New("no request was served after the change")
	}
	if err := evacuateZone(ctx, d, client, upstreams); err != nil {
		return false, err
	}
	return after.wrong > 0, nil
}

// writeForeign sends one heartbeat of a foreign writer to each node of the core, a heartbeat interval apart.
func writeForeign(ctx context.Context, d *deployment) error {
	for i, node := range d.controls() {
		body, err := json.Marshal(map[string]any{
			"service": "elsewhere", "address": join(d.address(4, 1), 8080), "zone": zones[0], "version": "v1", "slots": 3,
			"state": "ready", "coldRemainingS": 0, "sequence": i + 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		status, answer, err := d.http.post(ctx, node, "instances.heartbeat", "i-%ff%fe%80", body)
		d.record.add("foreign", "heartbeat with the id i-%%ff%%fe%%80 at %s: %d %s %v", node, status, strings.TrimSpace(string(answer)), err)
		time.Sleep(heartbeat)
	}
	d.record.add("step", "a foreign writer has sent its heartbeats")
	return nil
}

// probes counts requests by the service that ran them.
type probes struct{ right, wrong, failed int }

func (p *probes) add(o probes) {
	p.right, p.wrong, p.failed = p.right+o.right, p.wrong+o.wrong, p.failed+o.failed
}

// probeAll sends one request on a route to each front node and compares the service that runs it.
func probeAll(ctx context.Context, d *deployment, client *http.Client, prefix, service string) probes {
	var out probes
	for _, m := range d.fronts {
		s := send(ctx, client, m.frontend(), http.MethodGet, prefix+"x", nil, 2*time.Second)
		d.record.add("client", "request %s on %s to %s at %.3f: %d, run by %q %v", s.id, prefix, m.name, d.record.at(s.at), s.status, s.ran, s.err)
		switch {
		case s.status != http.StatusOK:
			out.failed++
		case strings.HasPrefix(s.ran, service+" "):
			out.right++
		default:
			out.wrong++
		}
	}
	return out
}

// evacuateZone has a zone evacuated, and records whether requests still reach its upstreams evacuationS later.
func evacuateZone(ctx context.Context, d *deployment, client *http.Client, upstreams []*upstream) error {
	status, err := d.order(ctx, "evacuations.start", zones[1], nil, 4*time.Second)
	if err != nil || status != 200 {
		return fmt.Errorf("evacuation: %d %v", status, err)
	}
	bound := time.Now().Add(evacuation)
	time.Sleep(time.Until(bound))
	for range 20 {
		probeAll(ctx, d, client, "/stays/", "second")
	}
	count := 0
	for _, u := range upstreams {
		if u.zone == zones[1] {
			count += len(u.since(bound))
		}
	}
	d.record.add("step", "runs in the evacuated zone later than evacuationS after its acknowledgement: %d", count)
	return nil
}

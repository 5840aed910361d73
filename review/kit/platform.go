package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// callTimeout is how long callers of the control interface wait before they move on to another node.
const callTimeout = time.Second

// caller makes calls of the platform, each on a connection of its own.
type caller struct{}

func (caller) post(ctx context.Context, node, call, of string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := "call=" + call
	if of != "" {
		query += "&of=" + of
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/chervilrail/rpc?"+query, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// order makes a call of the operator until it gets a clear answer, to another node each time, and returns its status.
func (d *deployment) order(ctx context.Context, call, of string, body any, most time.Duration) (int, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err
		}
	}
	nodes := d.controls()
	first, pause := rand.IntN(len(nodes)), 100*time.Millisecond
	until := time.Now().Add(most)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		node := nodes[(first+i)%len(nodes)]
		status, answer, err := d.http.post(ctx, node, call, url.QueryEscape(of), data)
		d.record.add("operator", "%s %s at %s: %d %s %v", call, of, node, status, bytes.TrimSpace(answer), err)
		if err == nil && (status == 200 || status >= 400 && status < 500 && status != 408 && status != 429) {
			return status, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, fmt.Errorf("%s got no clear answer within %v", call, most)
}

type route struct {
	Name    string   `json:"name"`
	Host    string   `json:"hostname"`
	Prefix  string   `json:"pathPrefix"`
	Kind    string   `json:"kind"`
	Timeout float64  `json:"timeoutS"`
	Aim     float64  `json:"targetLatencyS"`
	Rank    int      `json:"priority"`
	Service string   `json:"service"`
	Tries   int      `json:"maxAttempts"`
	Sticky  bool     `json:"sticky"`
	Regions []string `json:"allowedRegions"`
}

type service struct {
	Name        string  `json:"name"`
	Health      string  `json:"healthCheckPath"`
	Connections int     `json:"maxConnections"`
	Protocol    string  `json:"protocol"`
	TLS         bool    `json:"tls"`
	Cold        float64 `json:"coldStartS"`
	Rate        float64 `json:"coldPerS"`
}

type limits struct {
	Header        int     `json:"maxHeaderBytes"`
	Body          int     `json:"maxBodyBytes"`
	HeaderTimeout float64 `json:"headerTimeoutS"`
	Idle          float64 `json:"idleTimeoutS"`
}

type config struct {
	Version  string    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Base     any       `json:"baseVersion"`
}

type patch struct {
	Version string `json:"version"`
	Upsert  struct {
		Routes []route `json:"routes,omitempty"`
	} `json:"upsert"`
	Remove struct {
		Routes []string `json:"routes,omitempty"`
	} `json:"remove"`
	Base string `json:"baseVersion"`
}

const host = "case.example"

func newRoute(name, service, kind string) route {
	return route{
		Name: "r-" + name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: 2, Aim: 0.3, Rank: 1,
		Service: service, Tries: 2, Regions: []string{},
	}
}

func newService(name string) service {
	return service{Name: name, Health: "/health", Connections: 330, Protocol: "h1", Cold: 3, Rate: 9.9}
}

func firstConfig(routes []route, services ...string) config {
	out := config{
		Version: "r3", Routes: routes, Base: 0,
		Limits: limits{Header: 16384, Body: 67108864, HeaderTimeout: 3, Idle: 15},
	}
	for _, name := range services {
		out.Services = append(out.Services, newService(name))
	}
	return out
}

var attempts atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// sent is one client attempt and how it ended.
type sent struct {
	id     string
	at     time.Time
	status int
	ran    string
	err    error
	took   time.Duration
}

// send makes one client attempt at a front node.
func send(ctx context.Context, client *http.Client, front, method, path string, body []byte, patience time.Duration) sent {
	out := sent{id: newID(), at: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	request.Host = host
	request.Header.Set("X-Chervilrail-Attempt-Id", out.id)
	request.Header.Set("X-Chervilrail-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	response, err := client.Do(request)
	out.took = time.Since(out.at)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	out.status, out.err, out.ran = response.StatusCode, err, string(bytes.TrimSpace(answer))
	return out
}

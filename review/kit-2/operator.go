package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator sends orders as the pages say: to any node, again after a failure, a 5xx or no response in time.
type operator struct {
	urls   func() []string
	record *record
	client http.Client
}

// call sends one call to one node once.
func (o *operator) call(base, call string, body []byte, patience time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/chervilrail/rpc?call="+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// order sends an order until it gets a final answer, for as long as limit. It returns the final status, or 0.
func (o *operator) order(call string, body []byte, limit time.Duration) (int, []byte) {
	end := time.Now().Add(limit)
	patience := time.Second + time.Duration(len(body)/100_000)*time.Second/2
	pause := 50 * time.Millisecond
	others := 0
	for time.Now().Before(end) {
		urls := o.urls()
		status, text := o.call(urls[rand.IntN(len(urls))], call, body, patience)
		switch {
		case status >= 200 && status < 300, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status, text
		case status >= 400 && status < 500 && status != 408 && status != 429:
			if others++; others == 3 {
				return status, text
			}
		}
		time.Sleep(pause)
		pause = min(time.Second, 2*pause)
	}
	return 0, nil
}

// version returns the version that a read of the configuration returns, for as long as limit, or "".
func (o *operator) version(limit time.Duration) string {
	status, text := o.order("config.get", nil, limit)
	if status != http.StatusOK {
		return ""
	}
	var read struct {
		Version string `json:"version"`
	}
	if json.Unmarshal(text, &read) != nil {
		return ""
	}
	return read.Version
}

type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"hostname"`
	Prefix   string   `json:"pathPrefix"`
	Kind     string   `json:"kind"`
	Timeout  float64  `json:"timeoutS"`
	Latency  float64  `json:"targetLatencyS"`
	Priority int      `json:"priority"`
	Service  string   `json:"service,omitempty"`
	Split    []split  `json:"trafficSplit,omitempty"`
	Attempts int      `json:"maxAttempts"`
	Sticky   bool     `json:"sticky"`
	Regions  []string `json:"allowedRegions"`
}

type split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name        string  `json:"name"`
	Health      string  `json:"healthCheckPath"`
	Connections int     `json:"maxConnections"`
	Protocol    string  `json:"protocol"`
	TLS         bool    `json:"tls"`
	Cold        float64 `json:"coldStartS"`
	ColdPer     float64 `json:"coldPerS"`
}

type plan struct {
	Version  string             `json:"version"`
	Routes   []route            `json:"routes"`
	Services []service          `json:"services"`
	Limits   map[string]float64 `json:"limits"`
	Base     string             `json:"baseVersion"`
}

const host = "ficu95.example"

func newService(name string) service {
	return service{Name: name, Health: "/health", Connections: 330, Protocol: "h1", Cold: 0, ColdPer: 9.9}
}

func newRoute(name, prefix, kind, to string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: 2, Latency: 0.5, Priority: 1, Service: to, Attempts: 2,
		Sticky: true, Regions: []string{},
	}
}

func newPlan(version, base int) *plan {
	return &plan{
		Version: fmt.Sprintf("r%d", version), Base: fmt.Sprintf("r%d", base),
		Services: []service{newService("huvo11a"), newService("wuno96b")},
		Routes: []route{
			newRoute("r-h2b9wu3", "/pufi791/", "unsafe", "huvo11a"), newRoute("r-ji9n73h", "/lohu930/", "safe", "huvo11a"),
		},
		Limits: map[string]float64{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15,
		},
	}
}

func (p *plan) encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return data
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sync"
	"time"
)

// attempt is one client attempt as the client has seen it.
type attempt struct {
	id    string
	at    time.Time
	front string
	// kept is set if it was sent on a connection that had carried another request before.
	kept   bool
	status int
	err    error
	ended  time.Time
	// timeUp is set if the client gave up at its deadline.
	timeUp bool
}

// crowd is the clients of a case.
type crowd struct {
	d  *deployment
	mu sync.Mutex
	// attempts are all that have ended.
	attempts []attempt
}

// client asks the directory and sends requests on a kept connection, one at a time.
type client struct {
	*crowd
	zone      string
	addresses []string
	askAt     time.Time
	front     string
	conn      net.Conn
	reader    *bufio.Reader
}

// start starts clients that together send a number of requests a second until ctx ends.
func (c *crowd) start(ctx context.Context, clients int, perSecond float64, next func() (method, path string, body []byte), patience time.Duration) {
	for i := range clients {
		one := &client{crowd: c, zone: zones[i%len(zones)]}
		pause := time.Duration(float64(clients) / perSecond * float64(time.Second))
		c.d.wait.Go(func() {
			time.Sleep(rand.N(pause))
			for ctx.Err() == nil && !c.d.isClosed() {
				began := time.Now()
				method, path, body := next()
				one.send(ctx, method, path, body, patience)
				time.Sleep(time.Until(began.Add(pause/2 + rand.N(pause))))
			}
		})
	}
}

// resolve asks the directory where to connect, when the last answer has expired.
func (c *client) resolve(ctx context.Context) error {
	if time.Now().Before(c.askAt) {
		return nil
	}
	var last error
	for _, at := range rand.Perm(len(c.d.directories()))[:3] {
		query := url.Values{"name": {host}, "region": {regionOf(c.zone)}, "zone": {c.zone}}
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+c.d.directories()[at]+"/chervilrail/resolve?"+query.Encode(), nil)
		if err != nil {
			cancel()
			return err
		}
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			cancel()
			last = err
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		cancel()
		if err != nil || len(answer.Addresses) == 0 {
			last = errors.Join(err, fmt.Errorf("directory: status %d", response.StatusCode))
			continue
		}
		c.addresses, c.askAt = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
		if !slices.Contains(c.addresses, c.front) {
			c.drop()
		}
		return nil
	}
	if len(c.addresses) > 0 {
		return nil
	}
	return last
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.front, c.conn, c.reader = "", nil, nil
}

// exchange sends one request and reads its answer. Unlike the library's client it never sends a request twice.
func (c *client) exchange(id, method, path string, body []byte, deadline time.Time) (int, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return 0, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(deadline)
	request, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Chervilrail-Attempt-Id", id)
	request.Header.Set("X-Chervilrail-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	if err := request.Write(c.conn); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.Close {
		c.drop()
	}
	return response.StatusCode, err
}

func (c *client) send(ctx context.Context, method, path string, body []byte, patience time.Duration) {
	if err := c.resolve(ctx); err != nil {
		c.d.record.add("client", "no answer of the directory: %v", err)
		return
	}
	if c.conn == nil {
		c.front = c.addresses[rand.IntN(len(c.addresses))]
	}
	out := attempt{id: newID(), at: time.Now(), front: c.front, kept: c.conn != nil}
	c.d.sentTo.Store(out.id, c.front)
	out.status, out.err = c.exchange(out.id, method, path, body, out.at.Add(patience))
	out.ended = time.Now()
	out.timeUp = errors.Is(out.err, os.ErrDeadlineExceeded)
	if out.err != nil {
		c.drop()
	}
	c.mu.Lock()
	c.attempts = append(c.attempts, out)
	c.mu.Unlock()
	how := ""
	if out.kept {
		how = "on a kept connection "
	}
	front, _, _ := net.SplitHostPort(out.front)
	c.d.record.add("client", "%s %s %s %sto %s at %.3f: %d %v after %v", method, path, out.id, how, front,
		c.d.record.at(out.at), out.status, out.err, out.ended.Sub(out.at).Round(time.Millisecond))
}

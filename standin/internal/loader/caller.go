// Package loader simulates callers: a caller looks up entry instances, keeps the answer until its deadline, and sends
// requests to these instances.
package loader

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	lookupTimeout    = 2 * time.Second
	idleConnsPerHost = 512
)

// Caller is a caller of one service. Set the exported fields before use. It is safe for concurrent use.
type Caller struct {
	// LookupURLs are the base URLs at which entry instances can always be looked up.
	LookupURLs []string
	Service    string
	Client     netip.Addr

	once     sync.Once
	client   *http.Client
	mu       sync.Mutex
	deadline time.Time
	entries  []string
}

// Request is a request to send. Key is its idempotency key. If Organisation or Key is empty, its header is not sent.
type Request struct {
	Method       string
	Path         string
	Organisation string
	Key          string
	Body         io.Reader
}

// Answer is the result of a request. Entry is the base URL of the entry instance, Outcome and RetryAfter are the
// headers Chervilrail-Outcome and Retry-After.
type Answer struct {
	Entry      string
	Status     int
	Outcome    string
	RetryAfter string
	Body       string
	Err        error
}

type lookupAnswer struct {
	Deadline time.Time `json:"deadline"`
	Entries  []struct {
		Address netip.AddrPort `json:"address"`
	} `json:"entries"`
}

func (c *Caller) http() *http.Client {
	c.once.Do(func() {
		c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}}
	})
	return c.client
}

// Entries returns the base URLs of the entry instances to use. It looks them up again when the last answer has expired:
// at the entry instances of that answer, then at LookupURLs. If all look-ups fail it returns the last error.
func (c *Caller) Entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.deadline) {
		return c.entries, nil
	}
	var lastErr error
	bases := append(append([]string{}, c.entries...), c.LookupURLs...)
	for _, base := range bases {
		answer, err := c.lookup(ctx, base)
		if err != nil {
			lastErr = err
			continue
		}
		c.deadline = answer.Deadline
		c.entries = nil
		for _, e := range answer.Entries {
			c.entries = append(c.entries, "http://"+e.Address.String())
		}
		return c.entries, nil
	}
	return nil, lastErr
}

func (c *Caller) lookup(ctx context.Context, base string) (*lookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	url := base + "/lookup?service=" + c.Service
	if c.Client.IsValid() {
		url += "&client=" + c.Client.String()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http().Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	out := &lookupAnswer{}
	return out, json.NewDecoder(response.Body).Decode(out)
}

// Send sends a request to the looked-up entry instances in turn until one answers. After an error other than a refused
// connection the request may have been received, so only a GET request is sent to the next instance.
func (c *Caller) Send(ctx context.Context, request Request) Answer {
	entries, err := c.Entries(ctx)
	if err != nil {
		return Answer{Err: err}
	}
	var answer Answer
	for _, base := range entries {
		answer = c.SendTo(ctx, base, request)
		if answer.Err == nil {
			return answer
		}
		if !refusedConnection(answer.Err) && request.Method != http.MethodGet {
			return answer
		}
	}
	return answer
}

func refusedConnection(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connection refused")
}

// SendTo sends a request to the entry instance with a base URL.
func (c *Caller) SendTo(ctx context.Context, base string, request Request) Answer {
	r, err := http.NewRequestWithContext(ctx, request.Method, base+request.Path, request.Body)
	if err != nil {
		return Answer{Err: err}
	}
	r.Header.Set("Chervilrail-Service", c.Service)
	if request.Organisation != "" {
		r.Header.Set("Chervilrail-Organisation", request.Organisation)
	}
	if request.Key != "" {
		r.Header.Set("Idempotency-Key", request.Key)
	}
	response, err := c.http().Do(r)
	if err != nil {
		return Answer{Entry: base, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{
		Entry:      base,
		Status:     response.StatusCode,
		Outcome:    response.Header.Get("Chervilrail-Outcome"),
		RetryAfter: response.Header.Get("Retry-After"),
		Body:       string(body),
		Err:        err,
	}
}

// StatusError reports a look-up that was answered with a status other than 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "look-up failed: " + http.StatusText(e.Status) }

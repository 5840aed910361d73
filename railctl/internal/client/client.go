// Package client calls the operators' service of whichever controller leads.
package client

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

const (
	callTimeout = 2 * time.Second
	retryPause  = 100 * time.Millisecond
)

// Client asks the controllers in turn. Set the exported fields, then call Open.
type Client struct {
	Controllers []netip.AddrPort
	TokenFile   string
	Keys        securer.Files

	token   string
	clients []wireconnect.OperateClient
	next    int
}

// Open makes the connections.
func (c *Client) Open() error {
	if c.TokenFile != "" {
		data, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return &TokenError{Path: c.TokenFile, Cause: err}
		}
		c.token = strings.TrimSpace(string(data))
	}
	d := &dialer.Dialer{Keys: &securer.Keys{Files: c.Keys}}
	shared, err := d.Client()
	if err != nil {
		return err
	}
	authorized := &http.Client{Transport: &bearer{c.token, shared.Transport}}
	for _, a := range c.Controllers {
		c.clients = append(c.clients, wireconnect.NewOperateClient(authorized, d.URL(a)))
	}
	return nil
}

// bearer adds the operator token to every call.
type bearer struct {
	token string
	next  http.RoundTripper
}

func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

// Apply sends a change until some controller decides it. The same change may be sent again at any time:
// its id makes every controller give the first verdict.
func (c *Client) Apply(ctx context.Context, change *wire.Change) (*wire.Verdict, error) {
	var verdict *wire.Verdict
	err := c.retry(ctx, func(call context.Context, o wireconnect.OperateClient) error {
		response, err := o.Apply(call, connect.NewRequest(&wire.ApplyRequest{Change: change}))
		if err == nil {
			verdict = response.Msg.GetVerdict()
		}
		return err
	})
	return verdict, err
}

// Get reads the catalogue in force.
func (c *Client) Get(ctx context.Context) (*wire.GetResponse, error) {
	var out *wire.GetResponse
	err := c.retry(ctx, func(call context.Context, o wireconnect.OperateClient) error {
		response, err := o.Get(call, connect.NewRequest(&wire.GetRequest{}))
		if err == nil {
			out = response.Msg
		}
		return err
	})
	return out, err
}

// Status reads the leader's overview.
func (c *Client) Status(ctx context.Context) (*wire.StatusResponse, error) {
	var out *wire.StatusResponse
	err := c.retry(ctx, func(call context.Context, o wireconnect.OperateClient) error {
		response, err := o.Status(call, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return err
		}
		if !response.Msg.GetLeads() {
			return &FollowerError{}
		}
		out = response.Msg
		return nil
	})
	return out, err
}

func (c *Client) retry(ctx context.Context, run func(context.Context, wireconnect.OperateClient) error) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := run(call, c.clients[c.next%len(c.clients)])
		cancel()
		if err == nil || isFinal(err) {
			return err
		}
		c.next++
		select {
		case <-ctx.Done():
			return &UnreachableError{Cause: err}
		case <-time.After(retryPause):
		}
	}
}

// isFinal reports answers that no other controller would give differently.
func isFinal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated:
		return true
	default:
		return false
	}
}

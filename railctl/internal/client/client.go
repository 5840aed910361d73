// Package client calls the operator service of the controllers and finds the leading one.
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

// Client sends calls to the controllers in turn until one answers. Set the exported fields, then call Open. TokenFile
// may be empty. It is not safe for concurrent use.
type Client struct {
	Controllers []netip.AddrPort
	TokenFile   string
	Keys        securer.Files

	token   string
	clients []wireconnect.OperateClient
	next    int
}

// Open reads the token file and creates the clients. It returns a *TokenError if the file cannot be read.
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

// bearer is a RoundTripper that adds the operator token to every call.
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

// Apply sends a change until a controller decides it, and returns the verdict. Sending is idempotent: a change that is
// sent again with the same ID gets the verdict of the first time.
func (c *Client) Apply(ctx context.Context, change *wire.Change) (*wire.Verdict, error) {
	var verdict *wire.Verdict
	err := c.retry(ctx, func(callCtx context.Context, o wireconnect.OperateClient) error {
		response, err := o.Apply(callCtx, connect.NewRequest(&wire.ApplyRequest{Change: change}))
		if err == nil {
			verdict = response.Msg.GetVerdict()
		}
		return err
	})
	return verdict, err
}

// Get returns the catalogue in force.
func (c *Client) Get(ctx context.Context) (*wire.GetResponse, error) {
	var out *wire.GetResponse
	err := c.retry(ctx, func(callCtx context.Context, o wireconnect.OperateClient) error {
		response, err := o.Get(callCtx, connect.NewRequest(&wire.GetRequest{}))
		if err == nil {
			out = response.Msg
		}
		return err
	})
	return out, err
}

// Status returns the leader's status of the controllers, entry instances and limits.
func (c *Client) Status(ctx context.Context) (*wire.StatusResponse, error) {
	var out *wire.StatusResponse
	err := c.retry(ctx, func(callCtx context.Context, o wireconnect.OperateClient) error {
		response, err := o.Status(callCtx, connect.NewRequest(&wire.StatusRequest{}))
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

// retry runs a call against the controllers in turn until it succeeds or returns a final error. It returns an
// *UnreachableError with the last error when ctx is done.
func (c *Client) retry(ctx context.Context, run func(context.Context, wireconnect.OperateClient) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := run(callCtx, c.clients[c.next%len(c.clients)])
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

// isFinal reports whether every controller would answer with the same error, so that a retry is pointless.
func isFinal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated:
		return true
	default:
		return false
	}
}

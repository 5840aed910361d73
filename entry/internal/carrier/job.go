package carrier

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilrail.example/core/bounder"
	"chervilrail.example/core/leaver"
	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/watcher"
)

const (
	// maxBody limits a request's body, in bytes, unless the plan sets a lower limit: the whole body is kept in memory.
	maxBody = 16 << 20
	// defaultTimeout is a request's time-out when its route sets none; the caller's deadline may shorten it.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long an answer is awaited past the request's deadline: targets give up at the deadline
	// themselves, and their own answers are more informative than a time-out here.
	answerMargin = 100 * time.Millisecond
	// bodyRetryDelay is the time after which there may be room for a body again: half of what a large one takes.
	bodyRetryDelay = 500 * time.Millisecond
)

// job is the state of one caller's request.
type job struct {
	request *http.Request
	view    *watcher.View
	started time.Time
	call    messenger.Call
	route   *wire.Route
	service string
	// organisation is the one whose key the request carries; nil if none is known.
	organisation *wire.Organisation
	// regions are those that may serve it by its route and organisation; empty allows all.
	regions []string
	// quota is the verdict of the organisation's quota.
	quota    quoter.Verdict
	deadline time.Time
	// leaving is how long the process had been leaving when the request began.
	leaving     time.Duration
	body        *bounder.Body
	fingerprint quarantiner.Fingerprint
	// target and region are those of the last attempt; sends counts the attempts that may have reached a target.
	target    string
	region    string
	sends     int
	load      *messenger.Load
	limit     *messenger.Limit
	queueTime time.Duration
	// object names the object of the request; empty if it has none that targets keep warm.
	object string
	// place is where the request's object is kept warm; locateTime is how long it took to find out.
	place      placer.Assignment
	locateTime time.Duration
}

// prepare matches and reads a request; a non-nil result is final.
func (c *Carrier) prepare(w http.ResponseWriter, j *job) *result {
	route, ok := j.view.Table.Match(j.request.Host, j.request.URL.EscapedPath())
	if !ok {
		out := refuse(http.StatusNotFound, "route", time.Time{})
		return &out
	}
	j.route = route
	call, err := c.Codec.Call(j.request, j.started)
	if err != nil {
		out := refuse(http.StatusBadRequest, "header", time.Time{})
		return &out
	}
	j.call = call
	if out := j.identify(); out != nil {
		return out
	}
	timeout := time.Duration(route.GetTimeout())
	if timeout == 0 {
		timeout = defaultTimeout
	}
	j.deadline = j.started.Add(timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(j.deadline) {
		j.deadline = call.Deadline
	}
	if !c.departure.Admits(j.deadline) {
		return c.refuseLeaving(j)
	}
	if out := c.readBody(w, j); out != nil {
		return out
	}
	j.service = c.routes.nextService(route)
	j.fingerprint = fingerprint(j)
	return nil
}

// readBody reads the request's body whole, until the request's deadline at the latest.
func (c *Carrier) readBody(w http.ResponseWriter, j *job) *result {
	if j.request.ContentLength == 0 {
		return nil
	}
	limit := int64(maxBody)
	if planLimit := j.view.Table.Plan.GetLimits().GetBody(); planLimit > 0 {
		limit = min(limit, planLimit)
	}
	ctx, cancel := c.departure.Admission(j.request.Context(), j.deadline)
	defer cancel()
	limited := limitReads(ctx, w, j.deadline) // without a limit, the caller's own deadline ends the transfer
	body, err := c.Bodies.Read(j.request.Body, j.request.ContentLength, limit)
	limited()
	j.body = body
	if err == nil {
		return nil
	}
	if leaver.Ends(ctx) {
		return c.refuseLeaving(j)
	}
	out := refuseBody(err)
	return &out
}

// limitReads ends reads from a caller's connection at a deadline, or when ctx ends, until the function that it returns is
// called.
func limitReads(ctx context.Context, w http.ResponseWriter, deadline time.Time) func() {
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = connection.SetReadDeadline(time.Unix(1, 0))
		close(ended)
	})
	return func() {
		if !stop() {
			<-ended
		}
		_ = connection.SetReadDeadline(time.Time{})
	}
}

// refuseBody returns the result for a request whose body could not be read.
func refuseBody(err error) result {
	var tooLarge *bounder.TooLargeError
	var full *bounder.FullError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "size", time.Time{})
	case errors.As(err, &full):
		return refuse(http.StatusServiceUnavailable, "memory", time.Now().Add(bodyRetryDelay+rand.N(bodyRetryDelay)))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "upload", time.Now().Add(rand.N(bodyRetryDelay)))
	}
	return callerDisconnected()
}

// payload returns the bytes of the body.
func (j *job) payload() []byte {
	if j.body == nil {
		return nil
	}
	return j.body.Bytes
}

// path returns the path and query exactly as the caller sent them.
func (j *job) path() string {
	if strings.HasPrefix(j.request.RequestURI, "/") {
		return j.request.RequestURI
	}
	return j.request.URL.RequestURI()
}

// fingerprint hashes all that a target would execute: a request that crashes targets has the same fingerprint each time
// it is sent.
func fingerprint(j *job) quarantiner.Fingerprint {
	var out quarantiner.Fingerprint
	for half := range 2 {
		var d xxhash.Digest
		d.ResetWithSeed(uint64(half))
		for _, part := range []string{j.request.Method, j.request.Host, j.path(), j.call.Key} {
			_, _ = d.WriteString(part)
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(j.payload())
		copy(out[8*half:], d.Sum(nil))
	}
	return out
}

package dispatcher

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/watcher"
)

const (
	// maxBody bounds what is read of a request's body, in bytes, where the plan allows more: a body is held whole.
	maxBody = 16 << 20
	// defaultTimeout is the time a request has when neither caller nor route says.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long past its deadline a request's answer is still waited for: targets give up at the
	// deadline themselves, and their own word is worth more than ours.
	answerMargin = 100 * time.Millisecond
)

// job is one caller's request on its way.
type job struct {
	request *http.Request
	view    *watcher.View
	started time.Time
	call    messenger.Call
	route   *wire.Route
	service string
	// organisation is whose key came with the request, nil if none is known.
	organisation *wire.Organisation
	// regions may serve it, where the route or the organisation says; empty allows all.
	regions []string
	// quota is the decision by the organisation's quota.
	quota       quoter.Verdict
	deadline    time.Time
	body        []byte
	fingerprint quarantiner.Fingerprint
	// target, region and sends are for the log line.
	target    string
	region    string
	sends     int
	load      *messenger.Load
	queueTime time.Duration
	// object names what the request concerns, empty for nothing that targets keep warm.
	object string
	// place is where the request's object is kept warm, located how long it took to find out.
	place      placer.Place
	locateTime time.Duration
}

// prepare matches and reads a request; a result other than nil ends it.
func (c *Dispatcher) prepare(j *job) *result {
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
	if out := j.readBody(); out != nil {
		return out
	}
	j.service = c.routes.nextService(route)
	j.fingerprint = fingerprint(j)
	return nil
}

func (j *job) readBody() *result {
	limit := int64(maxBody)
	if planLimit := j.view.Table.Plan.GetLimits().GetBody(); planLimit > 0 {
		limit = min(limit, planLimit)
	}
	body, err := io.ReadAll(io.LimitReader(j.request.Body, limit+1))
	if err != nil {
		out := callerDisconnected()
		return &out
	}
	if int64(len(body)) > limit {
		out := refuse(http.StatusRequestEntityTooLarge, "size", time.Time{})
		return &out
	}
	j.body = body
	return nil
}

// path is the path and query exactly as the caller sent them.
func (j *job) path() string {
	if strings.HasPrefix(j.request.RequestURI, "/") {
		return j.request.RequestURI
	}
	return j.request.URL.RequestURI()
}

// fingerprint covers what a target would run: the same crash comes from the same request.
func fingerprint(j *job) quarantiner.Fingerprint {
	var out quarantiner.Fingerprint
	for half := range 2 {
		var d xxhash.Digest
		d.ResetWithSeed(uint64(half))
		for _, part := range []string{j.request.Method, j.request.Host, j.path(), j.call.Key} {
			_, _ = d.WriteString(part)
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(j.body)
		copy(out[8*half:], d.Sum(nil))
	}
	return out
}

package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"chervilrail.example/core/bounder"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/leaver"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

const (
	headerKey    = "Idempotency-Key"
	keyVersion   = 7
	maxKeyLength = 64
	// bodyRetryDelay is the time after which there may be room for a body again.
	bodyRetryDelay = time.Second
)

// job is one caller's request in progress.
type job struct {
	ctx         context.Context
	request     *http.Request
	view        *directory.View
	entry       *cataloguer.Entry
	deadline    time.Time
	fingerprint quarantiner.Fingerprint
	body        *body
	key         uuid.UUID
	// target and the fields below it are reported in the log and the metrics.
	target   string
	region   string
	tries    int
	status   int
	decision string
}

func (j *job) once() bool { return j.entry.Class == cataloguer.Once }

func (j *job) idempotent() bool {
	switch j.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return !j.once()
	}
	return false
}

// prepare checks a request, and reads as much of it as the routing decisions need.
func (f *Forwarder) prepare(w http.ResponseWriter, r *http.Request, now time.Time) (*job, *refuser.Refusal) {
	j := &job{request: r, view: f.Views.View(), ctx: r.Context()}
	if f.stopping.Load() {
		return j, refuse(http.StatusServiceUnavailable, "stopping", "this instance is stopping", now.Add(time.Second))
	}
	// An unconfirmed catalogue may have been replaced. Using it would break the guarantee that an accepted change is in
	// force on every instance, so the caller has to turn to another instance.
	if j.view == nil || !f.Views.Confirmed(now) {
		return j, refuse(http.StatusServiceUnavailable, "lapsed", "the catalogue is not confirmed", f.Views.RetryAt(now))
	}
	if refusal := j.match(r); refusal != nil {
		return j, refusal
	}
	if refusal := j.readDeadline(now); refusal != nil {
		return j, refusal
	}
	if !f.leaving.Admits(j.deadline) {
		return j, f.refuseLeaving(now)
	}
	if refusal := j.readKey(); refusal != nil {
		return j, refusal
	}
	if refusal := f.readBody(w, j); refusal != nil {
		return j, refusal
	}
	if refusal := f.checkLimits(now, j); refusal != nil {
		j.body.close()
		return j, refusal
	}
	return j, nil
}

func refuse(status int, reason, detail string, retry time.Time) *refuser.Refusal {
	return &refuser.Refusal{
		Status:  status,
		Title:   http.StatusText(status),
		Detail:  detail,
		Outcome: refuser.NotRun,
		Retry:   retry,
		Reason:  reason,
	}
}

func (j *job) match(r *http.Request) *refuser.Refusal {
	service := r.Header.Get(refuser.HeaderService)
	if service == "" {
		service = firstLabel(r.Host)
	}
	if _, ok := j.view.Catalogue.Service(service); !ok {
		detail := "unknown service " + strconv.Quote(service) + "; name it in " + refuser.HeaderService
		return refuse(http.StatusNotFound, "service", detail, time.Time{})
	}
	organisation := r.Header.Get(refuser.HeaderOrganisation)
	entry, ok := j.view.Catalogue.Match(service, organisation, r.Method, r.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, "entry", "no catalogue entry for organisation, method and path", time.Time{})
	}
	j.entry = entry
	return nil
}

func firstLabel(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// readDeadline sets the caller's deadline, or else the catalogue's timeout. An upload without a deadline of its own is
// limited only by stallTimeout.
func (j *job) readDeadline(now time.Time) *refuser.Refusal {
	if text := j.request.Header.Get(refuser.HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return refuse(http.StatusBadRequest, "deadline",
				refuser.HeaderDeadline+": expected a time such as 2026-01-02T15:04:05Z", time.Time{})
		}
		if !now.Before(deadline) {
			return refuse(http.StatusGatewayTimeout, "deadline", "the deadline has passed", time.Time{})
		}
		j.deadline = deadline
	}
	if j.deadline.IsZero() && j.entry.Class != cataloguer.Upload {
		j.deadline = now.Add(j.entry.Timeout)
	}
	return nil
}

// readKey requires a key that contains its issue time: the ledger removes old claims, and must be able to distinguish a
// removed key from a new one.
func (j *job) readKey() *refuser.Refusal {
	if !j.once() {
		return nil
	}
	text := j.request.Header.Get(headerKey)
	key, err := uuid.Parse(text)
	if len(text) > maxKeyLength || err != nil || key.Version() != keyVersion {
		return refuse(http.StatusBadRequest, "key",
			headerKey+": expected a version 7 UUID, new for each request and equal in its repeats", time.Time{})
	}
	j.key = key
	return nil
}

func (f *Forwarder) readBody(w http.ResponseWriter, j *job) *refuser.Refusal {
	r := j.request
	if r.ContentLength > j.entry.Body {
		return refuse(http.StatusRequestEntityTooLarge, "size",
			"at most "+strconv.FormatInt(j.entry.Body, 10)+" bytes", time.Time{})
	}
	ctx, cancel := f.leaving.Admission(j.ctx, j.deadline)
	defer cancel()
	b, err := f.readAhead(ctx, w, r, j.entry.Body, j.once())
	if err != nil {
		b.close()
	}
	if err != nil && leaver.Ends(ctx) {
		return f.refuseLeaving(time.Now())
	}
	var full *bounder.FullError
	if errors.As(err, &full) {
		return refuse(http.StatusServiceUnavailable, "memory", err.Error(), time.Now().Add(bodyRetryDelay))
	}
	if err != nil {
		return refuse(http.StatusBadRequest, "body", "read body: "+err.Error(), time.Time{})
	}
	j.body = b
	j.fingerprint = fingerprint(j)
	return nil
}

// fingerprint identifies what a target would run, so that a request that made a target fail is recognised when it comes
// again. It covers the service, the organisation, the method, the URI and the part of the body that was read ahead.
func fingerprint(j *job) quarantiner.Fingerprint {
	var out quarantiner.Fingerprint
	first := digest(j, 0)
	second := digest(j, 1)
	for i := range 8 {
		out[i] = byte(first >> (8 * i))
		out[8+i] = byte(second >> (8 * i))
	}
	return out
}

func digest(j *job, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	r := j.request
	for _, part := range []string{j.entry.Service, j.entry.Organisation, r.Method, r.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.body.ahead)
	return d.Sum64()
}

// checkLimits refuses requests that are known to crash targets, and requests above the entry's rate.
func (f *Forwarder) checkLimits(now time.Time, j *job) *refuser.Refusal {
	if until := f.Quarantine.RefusedUntil(now, j.fingerprint); !until.IsZero() {
		return refuse(http.StatusServiceUnavailable, "quarantine",
			"this request broke targets that ran it", until)
	}
	resource := cataloguer.EntryResource(j.entry.Name)
	f.Holder.Demand(now, resource, 1)
	if !f.Holder.Take(now, resource, 1) {
		return refuse(http.StatusTooManyRequests, "rate", "the entry's rate is used up", now.Add(time.Second))
	}
	return nil
}

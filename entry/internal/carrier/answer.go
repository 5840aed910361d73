package carrier

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/listener"
	"chervilrail.example/core/messenger"
	"chervilrail.example/core/placer"
	"chervilrail.example/entry/internal/pooler"
)

// result is what a request ends with: an answer of a target, or one of this instance.
type result struct {
	status int
	// answer is the target's answer; nil if this instance answers itself.
	answer *pooler.Answer
	// retryAt is when a refused caller should retry; zero omits the Retry-After header.
	retryAt time.Time
	reason  string
	// disconnected is set if the caller closed the connection, so that no answer can be written.
	disconnected bool
}

func refuse(status int, reason string, retryAt time.Time) result {
	return result{status: status, reason: reason, retryAt: retryAt}
}

func callerDisconnected() result { return result{reason: "gone", disconnected: true} }

func (c *Carrier) writeResult(w http.ResponseWriter, j *job, out result) {
	switch {
	case out.disconnected:
		panic(http.ErrAbortHandler)
	case out.answer != nil:
		writeAnswer(w, j, out.answer)
	default:
		listener.SkipBody(w, j.request)
		writeRefusal(w, out)
	}
}

// writeAnswer forwards a target's answer. The body is complete, so Content-Length is set from its length.
func writeAnswer(w http.ResponseWriter, j *job, a *pooler.Answer) {
	messenger.RemoveHopHeaders(a.Header)
	a.Header.Del("Content-Length")
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	if j.request.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func writeRefusal(w http.ResponseWriter, out result) {
	if !out.retryAt.IsZero() {
		remaining := max(0, time.Until(out.retryAt).Seconds())
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", remaining))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(out.status)
	_, _ = w.Write([]byte(out.reason + "\n"))
}

// objectHash returns the hash that stands for an object in logs, because object keys may be private.
func objectHash(object string) string {
	if object == "" {
		return ""
	}
	return formatHash(placer.ObjectHash(object))
}

func formatHash(object uint64) string { return strconv.FormatUint(object, 36) }

func (c *Carrier) recordResult(j *job, out result) {
	took := time.Since(j.started)
	c.Metrics.record(j, out, took)
	var version uint64
	if j.view != nil {
		version = j.view.Table.Plan.GetVersion()
	}
	_ = level.Info(c.Logger).Log("msg", "request", "id", j.call.ID, "route", j.route.GetName(), "service", j.service,
		"organisation", j.organisation.GetName(), "object", objectHash(j.object), "host", j.place.Target,
		"by", j.place.Reason, "located", j.locateTime,
		"version", version, "target", j.target, "region", j.region, "sends", j.sends, "status", out.status,
		"reason", out.reason, "waited", j.queueTime, "took", took, "left", time.Until(j.deadline), "load", j.load,
		"limit", j.limit, "leaving", j.leaving)
}

// Package resolver answers look-ups: it tells callers which entry instances to use.
package resolver

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"chervilrail.example/core/chooser"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

// answerSize is the initial capacity of the buffer for an answer, in bytes.
const answerSize = 256

// Views provides the current view of the control state.
type Views interface {
	View() *directory.View
	Confirmed(now time.Time) bool
	RetryAt(now time.Time) time.Time
}

// Handler serves GET /lookup. Set the exported fields before use.
type Handler struct {
	Views Views
	// Region is the region for clients whose address the catalogue does not map to one.
	Region string
	// MaxAge is how long callers may cache an answer.
	MaxAge time.Duration
	Logger log.Logger
	// Count counts a look-up by its result.
	Count func(result string)
}

// ServeHTTP implements http.Handler. The query names the service, and the client's IP address if it differs from the
// caller's.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	view := h.Views.View()
	if view == nil || !h.Views.Confirmed(now) {
		h.refuse(w, now, http.StatusServiceUnavailable, "no confirmed catalogue", h.Views.RetryAt(now))
		return
	}
	query := r.URL.Query()
	service := query.Get("service")
	if _, ok := view.Catalogue.Service(service); !ok {
		h.refuse(w, now, http.StatusNotFound, "unknown service "+strconv.Quote(service), time.Time{})
		return
	}
	client, err := clientAddress(query.Get("client"), r.RemoteAddr)
	if err != nil {
		h.refuse(w, now, http.StatusBadRequest, "client: expected an IP number", time.Time{})
		return
	}
	h.answer(w, now, view, service, client)
}

func clientAddress(named, remote string) (netip.Addr, error) {
	if named != "" {
		return netip.ParseAddr(named)
	}
	address, err := netip.ParseAddrPort(remote)
	return address.Addr(), err
}

func (h *Handler) answer(
	w http.ResponseWriter, now time.Time, view *directory.View, service string, client netip.Addr,
) {
	region := view.RegionOf(view.Sites.Find(client))
	if region == "" {
		region = h.Region
	}
	var chosen [chooser.MaxAnswers]*chooser.Instance
	count := view.Instances.Choose(client, region, &chosen)
	if count == 0 {
		h.refuse(w, now, http.StatusServiceUnavailable, "no entry instance", h.Views.RetryAt(now))
		return
	}
	body := Append(make([]byte, 0, answerSize), now.Add(h.MaxAge), region, chosen[:count])
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "max-age="+strconv.FormatInt(int64(h.MaxAge/time.Second), 10))
	_, _ = w.Write(body)
	h.Count("answered")
	_ = level.Info(h.Logger).Log("msg", "lookup", "service", service, "client", client, "region", region,
		"entry", chosen[0].Name, "number", view.CatalogueNumber)
}

// Append appends an answer as JSON to out. It does not use an encoder, so that a look-up does not allocate for each
// entry. Names contain only letters, digits and hyphens, so nothing needs escaping.
func Append(out []byte, deadline time.Time, region string, chosen []*chooser.Instance) []byte {
	out = append(out, `{"deadline":"`...)
	out = deadline.UTC().AppendFormat(out, time.RFC3339Nano)
	out = append(out, `","region":"`...)
	out = append(out, region...)
	out = append(out, `","entries":[`...)
	for i, in := range chosen {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, `{"name":"`...)
		out = append(out, in.Name...)
		out = append(out, `","address":"`...)
		out = in.Address.AppendTo(out)
		out = append(out, `","region":"`...)
		out = append(out, in.Region...)
		out = append(out, `","zone":"`...)
		out = append(out, in.Zone...)
		out = append(out, `"}`...)
	}
	return append(out, "]}\n"...)
}

func (h *Handler) refuse(w http.ResponseWriter, now time.Time, status int, detail string, retry time.Time) {
	h.Count("refused")
	refuser.Write(w, now, refuser.Refusal{
		Status:  status,
		Title:   "look-up refused",
		Detail:  detail,
		Outcome: refuser.NotRun,
		Retry:   retry,
	})
}

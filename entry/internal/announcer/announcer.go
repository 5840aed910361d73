// Package announcer receives the announcements of targets over plain HTTP.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/refuser"
)

const (
	// maxBody is the largest body of an announcement, in bytes.
	maxBody = 16 << 10
	// retryPause is how long a target should wait before it retries, while this instance has no confirmed catalogue.
	retryPause = time.Second
)

// Register stores announcements; Announce returns an error if it refuses one.
type Register interface {
	Announce(ctx context.Context, r *wire.Record) error
}

// Handler serves PUT /announce. Set Register before use.
type Handler struct {
	Register Register
}

// announcement is the JSON object that targets send.
type announcement struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Slots       int32  `json:"slots"`
	Load        int32  `json:"load"`
	State       string `json:"state"`
}

// acknowledgement is the JSON object of the answer. It states until when the announcement is valid and when to announce
// again.
type acknowledgement struct {
	Deadline time.Time `json:"deadline"`
	Next     time.Time `json:"next"`
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	record, err := Decode(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = h.Register.Announce(r.Context(), record)
	}
	if err != nil {
		refuse(w, now, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(acknowledgement{
		Deadline: now.Add(registrar.Lease).UTC(),
		Next:     now.Add(registrar.AnnouncementInterval).UTC(),
	})
}

// Decode reads one announcement. It returns a registrar.AnnouncementError for malformed JSON, unknown fields, unknown
// states and trailing data.
func Decode(body io.Reader) (*wire.Record, error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	var a announcement
	if err := decoder.Decode(&a); err != nil {
		return nil, &registrar.AnnouncementError{Field: "body", Expected: "one JSON object", Got: err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &registrar.AnnouncementError{Field: "body", Expected: "one JSON object", Got: "more data"}
	}
	state := wire.TargetState_TARGET_READY
	switch a.State {
	case "ready":
	case "leaving":
		state = wire.TargetState_TARGET_LEAVING
	default:
		return nil, &registrar.AnnouncementError{Field: "state", Expected: "ready or leaving", Got: a.State}
	}
	return &wire.Record{
		Name:        a.Name,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Service:     a.Service,
		Address:     a.Address,
		Region:      a.Region,
		Zone:        a.Zone,
		Slots:       a.Slots,
		Load:        a.Load,
		State:       state,
	}, nil
}

// refuse answers with status 503 and a time to retry at while there is no confirmed catalogue, else with status 400.
func refuse(w http.ResponseWriter, now time.Time, err error) {
	out := refuser.Refusal{
		Status:  http.StatusBadRequest,
		Title:   "announcement refused",
		Detail:  err.Error(),
		Outcome: refuser.NotRun,
	}
	var unconfirmed *directory.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		out.Status = http.StatusServiceUnavailable
		out.Retry = now.Add(retryPause)
	}
	refuser.Write(w, now, out)
}

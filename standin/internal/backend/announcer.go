package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
)

// Announcer announces a target to entry instances. Set the exported fields before Run.
type Announcer struct {
	Target  *Target
	Entries []netip.AddrPort
	Service string
	Region  string
	Zone    string
	Address netip.AddrPort

	// mu serialises announcements, so that a higher sequence number never carries an older state.
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	next        int
}

// Run announces the target as ready once a second until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	a.incarnation = uint64(time.Now().UnixNano())
	for {
		a.Announce("ready")
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// Announce sends an announcement to the entry instances in turn until one accepts it, starting with the one that
// accepted the previous announcement. It reports whether an entry instance accepted it.
func (a *Announcer) Announce(state string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	body, err := json.Marshal(map[string]any{
		"name":        a.Target.Name,
		"incarnation": a.incarnation,
		"sequence":    a.sequence,
		"service":     a.Service,
		"address":     a.Address.String(),
		"region":      a.Region,
		"zone":        a.Zone,
		"slots":       a.Target.Slots,
		"load":        a.Target.Load(),
		"state":       state,
	})
	if err != nil {
		return false
	}
	for range a.Entries {
		if a.send(a.Entries[a.next%len(a.Entries)], body) {
			return true
		}
		a.next++
	}
	return false
}

func (a *Announcer) send(entry netip.AddrPort, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	url := "http://" + entry.String() + "/announce"
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

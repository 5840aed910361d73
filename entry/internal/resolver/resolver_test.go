package resolver

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/chooser"
	"chervilrail.example/core/mapper"
	"chervilrail.example/entry/internal/directory"
)

const catalogue = `
[region almaty]
zones = almaty-a
cap = 100
floor = 1

[region astana]
zones = astana-a
cap = 100
floor = 1

[service listings]
regions = almaty, astana

[clients astana]
blocks = 10.2.0.0/16
`

type fakeViews struct {
	view      *directory.View
	confirmed bool
}

func (v *fakeViews) View() *directory.View           { return v.view }
func (v *fakeViews) Confirmed(time.Time) bool        { return v.confirmed }
func (v *fakeViews) RetryAt(now time.Time) time.Time { return now.Add(time.Second) }

func distance(from, to string) int {
	if from == to {
		return 0
	}
	return 1
}

func newHandler(t testing.TB, confirmed bool) *Handler {
	t.Helper()
	c, err := cataloguer.Parse("test", []byte(catalogue))
	is.New(t).NoErr(err)
	var instances []chooser.Instance
	for i, region := range []string{"almaty", "astana", "almaty", "astana"} {
		instances = append(instances, chooser.Instance{
			Name: "e" + string(rune('1'+i)), Region: region, Zone: region + "-a", Spare: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}), 8000),
		})
	}
	return &Handler{
		Views: &fakeViews{&directory.View{
			Catalogue: c,
			Instances: chooser.New(instances, []string{"almaty", "astana"}, distance),
			Sites:     mapper.Build([]mapper.Block{{Prefix: netip.MustParsePrefix("10.2.0.0/16"), Site: 0}}),
		}, confirmed},
		Region: "almaty", MaxAge: 5 * time.Second, Logger: log.NewNopLogger(), Count: func(string) {},
	}
}

func lookUp(h *Handler, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lookup?"+query, nil))
	return w
}

func TestNearestRegionIsNamedFirst(t *testing.T) {
	for client, region := range map[string]string{"10.2.3.4": "astana", "10.9.9.9": "almaty", "2001:db8::1": "almaty"} {
		t.Run(client, func(t *testing.T) {
			is := is.New(t)
			w := lookUp(newHandler(t, true), "service=listings&client="+client)
			is.Equal(w.Code, http.StatusOK)
			var answer struct {
				Deadline time.Time
				Region   string
				Entries  []struct{ Name, Region string }
			}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &answer))
			is.Equal(answer.Region, region)
			is.Equal(answer.Entries[0].Region, region)
			is.Equal(len(answer.Entries), chooser.MaxAnswers)
			is.True(answer.Deadline.After(time.Now()))
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name, query string
		confirmed   bool
		status      int
	}{
		{"unknown service", "service=other", true, http.StatusNotFound},
		{"no service", "", true, http.StatusNotFound},
		{"bad client", "service=listings&client=me", true, http.StatusBadRequest},
		{"not confirmed", "service=listings", false, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(lookUp(newHandler(t, c.confirmed), c.query).Code, c.status)
		})
	}
}

// discardWriter is a response writer that discards everything.
type discardWriter struct{ header http.Header }

func (n *discardWriter) Header() http.Header         { return n.header }
func (n *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (n *discardWriter) WriteHeader(int)             {}

func BenchmarkLookup(b *testing.B) {
	h := newHandler(b, true)
	r := httptest.NewRequest(http.MethodGet, "/lookup?service=listings&client=10.2.3.4", nil)
	w := &discardWriter{http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(w, r)
	}
}

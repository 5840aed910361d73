package dispatcher

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/placer"
	"chervilrail.example/core/planner"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/pooler"
	"chervilrail.example/platform/translator"
)

// meter answers for every request what it is set to, and counts.
type meter struct {
	verdict  quoter.Verdict
	asked    []string
	returned int
}

func (m *meter) Admit(_ context.Context, organisation string, _, _ time.Time) quoter.Verdict {
	m.asked = append(m.asked, organisation)
	return m.verdict
}
func (m *meter) Return(string, quoter.Verdict) { m.returned++ }

const secret = "s3cret"

// organise makes the carrier's plan need keys: acme's is secret, bound may only be served in region q, where no target is.
func organise(c *Dispatcher, m *meter) {
	c.Quotas = m
	view := *c.Views.View()
	p := plan()
	open := true
	p.Routes = append(p.Routes, &wire.Route{
		Name: "public", Host: "h.example", Prefix: "/public/", Public: &open, Splits: p.GetRoutes()[0].GetSplits(), Attempts: 2,
		Timeout: int64(300 * time.Millisecond), Aim: int64(100 * time.Millisecond),
	}, &wire.Route{
		Name: "home", Host: "h.example", Prefix: "/home/", Splits: p.GetRoutes()[0].GetSplits(), Attempts: 2, Regions: []string{"r"},
		Timeout: int64(300 * time.Millisecond), Aim: int64(100 * time.Millisecond),
	})
	p.Keyed = true
	p.Organisations = []*wire.Organisation{
		{Name: "acme", Keys: []string{secret}}, {Name: "bound", Keys: []string{"bound"}, Regions: []string{"q"}},
	}
	view.Table = planner.NewTable(planner.Seal(p))
	c.Views = seen(&view)
}

func askWith(c *Dispatcher, path string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("in"))
	r.RequestURI = path
	r.Header = header.Clone()
	r.Header.Set(translator.HeaderAttemptID, "a1")
	r.Header.Set(translator.HeaderDeadline, "1000")
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	return w
}

func key(text string) http.Header { return http.Header{translator.HeaderSecret: {text}} }

// Guards against requests that run without a key that some organisation holds, and against keys that are refused.
func TestKeys(t *testing.T) {
	cases := []struct {
		name         string
		path         string
		header       http.Header
		status       int
		organisation string
	}{
		{"known", "/once/1", key(secret), 200, "acme"},
		{"unknown", "/once/1", key("guess"), 401, ""},
		{"missing", "/once/1", http.Header{}, 401, ""},
		{"with more than the key", "/once/1", key("Bearer " + secret), 401, ""},
		{"twice", "/once/1", http.Header{translator.HeaderSecret: {secret, secret}}, 401, ""},
		{"megabytes", "/once/1", key(strings.Repeat("x", 1<<20)), 401, ""},
		{"none on a public route", "/public/1", http.Header{}, 200, ""},
		{"unknown on a public route", "/public/1", key("guess"), 200, ""},
		{"known on a public route", "/public/1", key(secret), 200, "acme"},
		{"unknown without a route", "/other/1", key("guess"), 404, ""},
		{"a forged organisation", "/once/1", http.Header{
			translator.HeaderSecret: {secret}, translator.HeaderOrganisation: {"other"},
		}, 200, "acme"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, s := begin(t, signed(200))
			organise(c, &meter{})
			w := askWith(c, test.path, test.header)
			is.Equal(w.Code, test.status)
			is.Equal(len(s.sent) == 1, test.status == 200)
			if test.status == 200 {
				is.Equal(s.sent[0].Header.Get(translator.HeaderOrganisation), test.organisation)
				is.Equal(s.sent[0].Header.Get(translator.HeaderSecret), "")
			}
		})
	}
}

// Guards against a key in the log.
func TestNoKeyIsLogged(t *testing.T) {
	is := is.New(t)
	c, _ := begin(t, signed(200))
	out := &bytes.Buffer{}
	c.Logger = log.NewLogfmtLogger(out)
	organise(c, &meter{})
	for _, text := range []string{secret, "guess", "Bearer " + secret} {
		askWith(c, "/once/1", key(text))
	}
	is.True(strings.Contains(out.String(), "acme"))
	is.True(!strings.Contains(out.String(), secret))
	is.True(!strings.Contains(out.String(), "guess"))
}

// Guards against requests that run outside the regions of their organisation or route, also where no region is left.
func TestRegionsOfAnOrganisation(t *testing.T) {
	is := is.New(t)
	c, s := begin(t, signed(200))
	organise(c, &meter{})
	is.Equal(askWith(c, "/home/1", key("bound")).Code, http.StatusServiceUnavailable) // no region is in both
	is.Equal(askWith(c, "/once/1", key("bound")).Code, http.StatusServiceUnavailable) // no target there
	is.Equal(len(s.sent), 0)
	view := *c.Views.View()
	view.Targets = map[string][]placer.Spec{"listings": append(view.Targets["listings"], placer.Spec{
		Name: "far", Region: "q", Zone: "y", Slots: 2, OwnSlots: 2,
	})}
	c.ApplyView(&view)
	is.Equal(askWith(c, "/once/1", key("bound")).Code, http.StatusOK)
	is.Equal(s.sent[0].Header.Get(translator.HeaderTarget), "far")
}

// Guards against a metric for each of a hundred thousand organisations.
func TestMetricsNameOnlyTheLargestOrganisations(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	p := &wire.Plan{}
	for i := range 1000 {
		rate := float64(i)
		p.Organisations = append(p.Organisations, &wire.Organisation{Name: strconv.Itoa(i), Rate: &rate})
	}
	m.follow(p)
	for _, o := range p.GetOrganisations() {
		m.ended(&job{organisation: o}, refuse(http.StatusOK, "answered", time.Time{}), 0)
	}
	families, err := registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		if strings.HasSuffix(f.GetName(), "organisation_requests_total") {
			is.Equal(len(f.GetMetric()), maxNamed+1)
		}
	}
	is.Equal(m.organisation("999"), "999")
	is.Equal(m.organisation("1"), others)
}

// Guards against quotas that are spent by requests which have not run, and against refusals that say nothing of when to return.
func TestQuotas(t *testing.T) {
	later := time.Now().Add(time.Second)
	cases := []struct {
		name     string
		verdict  quoter.Verdict
		end      end
		status   int
		sends    int
		returned int
	}{
		{"granted", quoter.Verdict{}, signed(200), 200, 1, 0},
		{"granted and failed", quoter.Verdict{}, signed(500), 500, 1, 0},
		{"granted and broken off", quoter.Verdict{}, end{ending: pooler.Broken}, 502, 1, 0},
		{"granted and not run", quoter.Verdict{}, unrunBy(503), 503, 2, 1},
		{"exceeded", quoter.Verdict{Outcome: quoter.Exceeded, RetryAt: later}, signed(200), 429, 0, 0},
		{"lacking", quoter.Verdict{Outcome: quoter.Lacking, RetryAt: later}, signed(200), 503, 0, 0},
		{"unknown", quoter.Verdict{Outcome: quoter.Unknown, RetryAt: later}, signed(200), 503, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, s := begin(t, test.end)
			m := &meter{verdict: test.verdict}
			organise(c, m)
			w := askWith(c, "/once/1", key(secret))
			is.Equal(w.Code, test.status)
			is.Equal(len(s.sent), test.sends)
			is.Equal(m.returned, test.returned)
			is.Equal(m.asked, []string{"acme"})
			is.Equal(w.Header().Get("Retry-After") != "", test.status == 429 || test.status == 503)
		})
	}
}

package carrier

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

// fakeQuotas gives every request the same verdict and counts the calls.
type fakeQuotas struct {
	verdict  quoter.Verdict
	admitted []string
	returned int
}

func (m *fakeQuotas) Admit(_ context.Context, organisation string, _, _ time.Time) quoter.Verdict {
	m.admitted = append(m.admitted, organisation)
	return m.verdict
}
func (m *fakeQuotas) Return(string, quoter.Verdict) { m.returned++ }

const secret = "s3cret"

// requireKeys gives the carrier a plan that requires keys. The key of acme is secret; bound may be served only in
// region q, which has no target.
func requireKeys(c *Carrier, quotas *fakeQuotas) {
	c.Quotas = quotas
	view := *c.Views.View()
	p := testPlan()
	public := true
	p.Routes = append(p.Routes, &wire.Route{
		Name: "public", Host: "h.example", Prefix: "/public/", Public: &public, Splits: p.GetRoutes()[0].GetSplits(), Attempts: 2,
		Timeout: int64(300 * time.Millisecond), Aim: int64(100 * time.Millisecond),
	}, &wire.Route{
		Name: "home", Host: "h.example", Prefix: "/home/", Splits: p.GetRoutes()[0].GetSplits(), Attempts: 2,
		Regions: []string{"r"},
		Timeout: int64(300 * time.Millisecond), Aim: int64(100 * time.Millisecond),
	})
	p.Keyed = true
	p.Organisations = []*wire.Organisation{
		{Name: "acme", Keys: []string{secret}}, {Name: "bound", Keys: []string{"bound"}, Regions: []string{"q"}},
	}
	view.Table = planner.NewTable(planner.HashKeys(p))
	c.Views = viewsWith(&view)
}

func sendWithHeader(c *Carrier, path string, header http.Header) *httptest.ResponseRecorder {
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

// Guards against requests that are served without the key of an organisation, and against valid keys that are refused.
func TestKeysIdentifyOrganisations(t *testing.T) {
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
		{"with a prefix", "/once/1", key("Bearer " + secret), 401, ""},
		{"twice", "/once/1", http.Header{translator.HeaderSecret: {secret, secret}}, 401, ""},
		{"megabytes", "/once/1", key(strings.Repeat("x", 1<<20)), 401, ""},
		{"none on a public route", "/public/1", http.Header{}, 200, ""},
		{"unknown on a public route", "/public/1", key("guess"), 200, ""},
		{"known on a public route", "/public/1", key(secret), 200, "acme"},
		{"unknown key, no route", "/other/1", key("guess"), 404, ""},
		{"a forged organisation", "/once/1", http.Header{
			translator.HeaderSecret: {secret}, translator.HeaderOrganisation: {"other"},
		}, 200, "acme"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, signedAnswer(200))
			requireKeys(c, &fakeQuotas{})
			w := sendWithHeader(c, test.path, test.header)
			is.Equal(w.Code, test.status)
			is.Equal(len(s.sent) == 1, test.status == 200)
			if test.status == 200 {
				is.Equal(s.sent[0].Header.Get(translator.HeaderOrganisation), test.organisation)
				is.Equal(s.sent[0].Header.Get(translator.HeaderSecret), "")
			}
		})
	}
}

// Guards against keys in the log.
func TestNoKeyIsLogged(t *testing.T) {
	is := is.New(t)
	c, _ := startCarrier(t, signedAnswer(200))
	out := &bytes.Buffer{}
	c.Logger = log.NewLogfmtLogger(out)
	requireKeys(c, &fakeQuotas{})
	for _, text := range []string{secret, "guess", "Bearer " + secret} {
		sendWithHeader(c, "/once/1", key(text))
	}
	is.True(strings.Contains(out.String(), "acme"))
	is.True(!strings.Contains(out.String(), secret))
	is.True(!strings.Contains(out.String(), "guess"))
}

// Guards against requests that are served outside the regions of their organisation or route, also if no region is in
// both.
func TestRequestsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(200))
	requireKeys(c, &fakeQuotas{})
	// The organisation and the route have no region in common.
	is.Equal(sendWithHeader(c, "/home/1", key("bound")).Code, http.StatusServiceUnavailable)
	// There is no target in the region of the organisation.
	is.Equal(sendWithHeader(c, "/once/1", key("bound")).Code, http.StatusServiceUnavailable)
	is.Equal(len(s.sent), 0)
	view := *c.Views.View()
	view.Targets = map[string][]placer.Spec{"listings": append(view.Targets["listings"], placer.Spec{
		Name: "far", Region: "q", Zone: "y", Slots: 2, OwnSlots: 2,
	})}
	c.ApplyView(&view)
	is.Equal(sendWithHeader(c, "/once/1", key("bound")).Code, http.StatusOK)
	is.Equal(s.sent[0].Header.Get(translator.HeaderTarget), "far")
}

// Guards against a metric series for each of a hundred thousand organisations.
func TestOnlyLargestOrganisationsHaveMetricLabels(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	p := &wire.Plan{}
	for i := range 1000 {
		rate := float64(i)
		p.Organisations = append(p.Organisations, &wire.Organisation{Name: strconv.Itoa(i), Rate: &rate})
	}
	m.labelOrganisations(p)
	for _, o := range p.GetOrganisations() {
		m.record(&job{organisation: o}, refuse(http.StatusOK, "answered", time.Time{}), 0)
	}
	families, err := registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		if strings.HasSuffix(f.GetName(), "organisation_requests_total") {
			is.Equal(len(f.GetMetric()), maxLabelled+1)
		}
	}
	is.Equal(m.organisationLabel("999"), "999")
	is.Equal(m.organisationLabel("1"), others)
}

// Guards against quota that is spent by requests which were not executed, and against refusals without a Retry-After
// header.
func TestQuotaVerdicts(t *testing.T) {
	later := time.Now().Add(time.Second)
	cases := []struct {
		name     string
		verdict  quoter.Verdict
		attempt  scriptedAttempt
		status   int
		sends    int
		returned int
	}{
		{"granted", quoter.Verdict{}, signedAnswer(200), 200, 1, 0},
		{"granted and failed", quoter.Verdict{}, signedAnswer(500), 500, 1, 0},
		{"granted and connection broken", quoter.Verdict{}, scriptedAttempt{outcome: pooler.Broken}, 502, 1, 0},
		{"granted and not executed", quoter.Verdict{}, notExecutedAnswer(503), 503, 2, 1},
		{"exceeded", quoter.Verdict{Outcome: quoter.Exceeded, RetryAt: later}, signedAnswer(200), 429, 0, 0},
		{"lacking", quoter.Verdict{Outcome: quoter.Lacking, RetryAt: later}, signedAnswer(200), 503, 0, 0},
		{"unknown", quoter.Verdict{Outcome: quoter.Unknown, RetryAt: later}, signedAnswer(200), 503, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, test.attempt)
			quotas := &fakeQuotas{verdict: test.verdict}
			requireKeys(c, quotas)
			w := sendWithHeader(c, "/once/1", key(secret))
			is.Equal(w.Code, test.status)
			is.Equal(len(s.sent), test.sends)
			is.Equal(quotas.returned, test.returned)
			is.Equal(quotas.admitted, []string{"acme"})
			is.Equal(w.Header().Get("Retry-After") != "", test.status == 429 || test.status == 503)
		})
	}
}

package planner

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilrail.example/core/wire"
)

func route(name, host, prefix string, splits ...*wire.Split) *wire.Route {
	if len(splits) == 0 {
		splits = []*wire.Split{{Service: "listings", Weight: 1}}
	}
	return &wire.Route{
		Name: name, Host: host, Prefix: prefix, Splits: splits,
		Timeout: int64(time.Second), Aim: int64(300 * time.Millisecond),
	}
}

func plan(routes ...*wire.Route) *wire.Plan {
	return &wire.Plan{
		Version: 1, Routes: routes, Services: []*wire.Service{{Name: "listings"}, {Name: "bookings"}},
	}
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	table := NewTable(plan(
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"),
	))
	cases := map[string]string{
		"a.example /x/1": "short", "a.example /x/y/1": "long", "b.example /x/y/1": "other",
		"a.example:8080 /x/y/": "long", "a.example /y/": "", "c.example /x/": "", "a.example /x": "",
	}
	for pattern, want := range cases {
		t.Run(pattern, func(t *testing.T) {
			host, path, _ := strings.Cut(pattern, " ")
			got, _ := table.Match(host, path)
			is.New(t).Equal(got.GetName(), want)
		})
	}
}

// Guards against an invalid plan that is put in force and sends requests to the wrong services or to none.
func TestCheckReportsTheInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(Check(plan(route("a", "h", "/a/"))))
	late := route("a", "h", "/a/")
	late.Aim = late.GetTimeout() + int64(time.Minute)
	cases := map[string]struct {
		plan  *wire.Plan
		field string
	}{
		"unknown service":      {plan(route("a", "h", "/a/", &wire.Split{Service: "nope", Weight: 1})), "service"},
		"same host and prefix": {plan(route("a", "h", "/a/"), route("b", "h", "/a/")), "prefix"},
		"same name":            {plan(route("a", "h", "/a/"), route("a", "h", "/b/")), "name"},
		"prefix without slash": {plan(route("a", "h", "a/")), "prefix"},
		"no weight": {plan(route("a", "h", "/a/", &wire.Split{Service: "listings"},
			&wire.Split{Service: "bookings"})), "weights"},
		"negative weight": {plan(route("a", "h", "/a/", &wire.Split{Service: "listings", Weight: -1},
			&wire.Split{Service: "bookings", Weight: 2})), "weight"},
		"aim a minute above timeout": {plan(late), "aim"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var fault *PlanError
			is := is.New(t)
			is.True(errors.As(Check(c.plan), &fault))
			is.Equal(fault.Field, c.field)
		})
	}
}

func TestPatchReplacesAddsAndRemoves(t *testing.T) {
	is := is.New(t)
	old := plan(route("a", "h", "/a/"), route("b", "h", "/b/"))
	changed := route("a", "h", "/changed/")
	got := Apply(old, &wire.PlanChange{Version: 4, Patch: &wire.Patch{
		Routes: []*wire.Route{changed, route("c", "h", "/c/")}, Noroutes: []string{"b"},
		Services: []*wire.Service{{Name: "bookings", Connections: 7}},
	}})
	is.Equal(got.GetVersion(), uint64(4))
	is.Equal(len(got.GetRoutes()), 2)
	is.Equal(got.GetRoutes()[0].GetPrefix(), "/changed/")
	is.Equal(got.GetRoutes()[1].GetName(), "c")
	is.Equal(got.GetServices()[1].GetConnections(), int32(7))
	is.Equal(old.GetRoutes()[0].GetPrefix(), "/a/") // the former plan may still be in use
}

// Guards against services chosen at random: their shares would deviate from the weights by some per cent in each window
// that an operator looks at.
func TestSharesStayWithinOneRequestOfTheirWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		r := &wire.Route{}
		total := 0
		for i, w := range weights {
			r.Splits = append(r.Splits, &wire.Split{Service: string(rune('a' + i)), Weight: float64(w)})
			total += w
		}
		if total == 0 {
			return
		}
		s := &Splitter{}
		got := map[string]int{}
		for n := 1; n <= 200; n++ {
			got[s.Next(r)]++
			for _, p := range r.GetSplits() {
				expected := float64(n) * p.GetWeight() / float64(total)
				if diff := float64(got[p.GetService()]) - expected; diff > 2 || diff < -2 {
					t.Fatalf("after %d requests %s got %d, expected %.1f", n, p.GetService(), got[p.GetService()], expected)
				}
			}
		}
	})
}

// Guards against a route whose weights have no sum: each part would get the same share, whatever its weight.
func TestWeightsWithoutASumAreRefused(t *testing.T) {
	is := is.New(t)
	plan := &wire.Plan{
		Services: []*wire.Service{{Name: "a"}, {Name: "b"}},
		Routes: []*wire.Route{{Name: "r", Host: "h", Prefix: "/", Splits: []*wire.Split{
			{Service: "a", Weight: 1.7e308}, {Service: "b", Weight: 1.7e307},
		}}},
	}
	var refused *PlanError
	is.True(errors.As(Check(plan), &refused))
	is.Equal(refused.Field, "weights")
	plan.Routes[0].Splits[0].Weight = 1.5e308
	is.NoErr(Check(plan))
}

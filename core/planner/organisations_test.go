package planner

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

func organisation(name string, keys ...string) *wire.Organisation {
	return &wire.Organisation{Name: name, Keys: keys}
}

func keyed(list ...*wire.Organisation) *wire.Plan {
	p := plan(route("a", "h", "/a/"))
	p.Keyed, p.Organisations = true, list
	return p
}

// Guards against a plan in which it can't be told whose a request is, or how much it may ask for.
func TestMistakesInOrganisationsAreNamed(t *testing.T) {
	negative := -1.0
	cases := map[string]struct {
		plan  *wire.Plan
		field string
	}{
		"shared key":     {keyed(organisation("a", "s3cret"), organisation("b", "other", "s3cret")), "keys"},
		"same name":      {keyed(organisation("a"), organisation("a")), "name"},
		"no name":        {keyed(organisation("")), "name"},
		"negative rate":  {keyed(&wire.Organisation{Name: "a", Rate: &negative}), "quota"},
		"negative burst": {keyed(&wire.Organisation{Name: "a", Burst: &negative}), "quota"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var fault *PlanError
			err := Check(c.plan)
			is.True(errors.As(err, &fault))
			is.Equal(fault.Field, c.field)
			is.True(!strings.Contains(err.Error(), "s3cret")) // errors go to logs
		})
	}
	is.New(t).NoErr(Check(keyed(organisation("a", "k", "k"), organisation("b"))))
}

// Guards against keys that reach processes which only have to recognise them.
func TestASealedPlanHoldsNoKey(t *testing.T) {
	is := is.New(t)
	whole := keyed(organisation("a", "s3cret", "second"), organisation("b", "third"))
	sealed := HashKeys(whole)
	data, err := proto.Marshal(sealed)
	is.NoErr(err)
	for _, key := range []string{"s3cret", "second", "third"} {
		is.True(!strings.Contains(string(data), key))
	}
	is.Equal(whole.GetOrganisations()[0].GetKeys()[0], "s3cret") // the plan that is read back keeps them
	table := NewTable(sealed)
	for key, want := range map[string]string{"s3cret": "a", "second": "a", "third": "b", "": "", "s3cre": "", "s3crets": ""} {
		found, ok := table.Organisation(key)
		is.Equal(found.GetName(), want)
		is.Equal(ok, want != "")
	}
}

func TestPatchChangesOrganisations(t *testing.T) {
	is := is.New(t)
	old := keyed(organisation("a", "1"), organisation("b", "2"))
	got := Apply(old, &wire.PlanChange{Version: 2, Patch: &wire.Patch{
		Organisations: []*wire.Organisation{organisation("c", "3"), organisation("a", "4")}, Noorganisations: []string{"b"},
	}})
	is.Equal(len(got.GetOrganisations()), 2)
	is.Equal(got.GetOrganisations()[0].GetKeys(), []string{"4"})
	is.Equal(got.GetOrganisations()[1].GetName(), "c")
	is.True(got.GetKeyed())
	is.Equal(len(old.GetOrganisations()), 2) // the former plan is still in use elsewhere
	none := Apply(old, &wire.PlanChange{Version: 2, Patch: &wire.Patch{Noorganisations: []string{"a", "b"}}})
	is.True(none.GetKeyed()) // without any organisation no key is known, and none is needed nowhere
}

func TestCommonRegions(t *testing.T) {
	cases := map[string]struct {
		a, b, want []string
		some       bool
	}{
		"all":   {nil, nil, nil, true},
		"left":  {[]string{"x"}, nil, []string{"x"}, true},
		"right": {nil, []string{"y"}, []string{"y"}, true},
		"both":  {[]string{"x", "y"}, []string{"y", "z"}, []string{"y"}, true},
		"none":  {[]string{"x"}, []string{"y"}, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, some := CommonRegions(c.a, c.b)
			is.Equal(got, c.want)
			is.Equal(some, c.some)
		})
	}
}

// BenchmarkOrganisation finds one of many organisations by its key.
func BenchmarkOrganisation(b *testing.B) {
	p := keyed()
	for i := range 100000 {
		p.Organisations = append(p.Organisations, organisation("o"+string(rune(i)), "key-"+strings.Repeat("x", i%7)+string(rune(i))))
	}
	table := NewTable(p)
	b.ReportAllocs()
	for b.Loop() {
		table.Organisation("key-xx\u0800")
	}
}

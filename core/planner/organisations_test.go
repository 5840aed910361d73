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

// Guards against plans that don't determine which organisation a request belongs to, or the organisation's quota.
func TestCheckReportsTheInvalidFieldOfOrganisations(t *testing.T) {
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
			is.True(!strings.Contains(err.Error(), "s3cret")) // errors are logged
		})
	}
	is.New(t).NoErr(Check(keyed(organisation("a", "k", "k"), organisation("b"))))
}

// Guards against keys being sent to processes that only have to recognise them.
func TestHashKeysRemovesAllKeys(t *testing.T) {
	is := is.New(t)
	original := keyed(organisation("a", "s3cret", "second"), organisation("b", "third"))
	hashed := HashKeys(original)
	data, err := proto.Marshal(hashed)
	is.NoErr(err)
	for _, key := range []string{"s3cret", "second", "third"} {
		is.True(!strings.Contains(string(data), key))
	}
	is.Equal(original.GetOrganisations()[0].GetKeys()[0], "s3cret") // the plan that operators read back keeps its keys
	table := NewTable(hashed)
	for key, want := range map[string]string{
		"s3cret": "a", "second": "a", "third": "b", "": "", "s3cre": "", "s3crets": "",
	} {
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
	is.Equal(len(old.GetOrganisations()), 2) // the former plan may still be in use
	none := Apply(old, &wire.PlanChange{Version: 2, Patch: &wire.Patch{Noorganisations: []string{"a", "b"}}})
	is.True(none.GetKeyed()) // without organisations every key is unknown, and requests still need one
}

func TestCommonRegions(t *testing.T) {
	cases := map[string]struct {
		a, b, want []string
		ok         bool
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
			got, ok := CommonRegions(c.a, c.b)
			is.Equal(got, c.want)
			is.Equal(ok, c.ok)
		})
	}
}

// BenchmarkOrganisation measures finding one of 100,000 organisations by its key.
func BenchmarkOrganisation(b *testing.B) {
	p := keyed()
	for i := range 100000 {
		p.Organisations = append(p.Organisations,
			organisation("o"+string(rune(i)), "key-"+strings.Repeat("x", i%7)+string(rune(i))))
	}
	table := NewTable(p)
	b.ReportAllocs()
	for b.Loop() {
		table.Organisation("key-xx\u0800")
	}
}

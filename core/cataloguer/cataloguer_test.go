package cataloguer

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/parser"
)

const base = `
[region almaty]
zones = almaty-a, almaty-b
cap = 1000
floor = 10

[region astana]
zones = astana-a
cap = 1000
floor = 10

[service listings]
regions = almaty, astana

[entry all]
service = listings
owner = club
class = browse

[entry venue]
service = listings
owner = club
class = urgent
path = /venue

[entry change]
service = listings
owner = club
class = once
path = /venue
methods = POST
`

func parse(t *testing.T, text string) *Catalogue {
	t.Helper()
	c, err := Parse("test", []byte(text))
	is.New(t).NoErr(err)
	return c
}

// assertFault checks that Parse rejects the text with a fault that contains want.
func assertFault(t *testing.T, text, want string) {
	t.Helper()
	is := is.New(t)
	_, err := Parse("test", []byte(text))
	var faults *parser.FaultsError
	is.True(errors.As(err, &faults))
	if !strings.Contains(err.Error(), want) {
		t.Errorf("no fault mentions %q:\n%v", want, err)
	}
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.ini")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			parse(t, string(data))
		})
	}
}

func TestMatch(t *testing.T) {
	c := parse(t, base)
	cases := []struct{ method, path, want string }{
		{"GET", "/", "all"},
		{"GET", "/venue", "venue"},
		{"GET", "/venue/3", "venue"},
		{"GET", "/venues", "all"},
		{"POST", "/venue/3", "change"},
	}
	for _, o := range cases {
		t.Run(o.method+o.path, func(t *testing.T) {
			is := is.New(t)
			e, ok := c.Match("listings", "club", o.method, o.path)
			is.True(ok)
			is.Equal(e.Name, o.want)
		})
	}
	t.Run("unknown organisation", func(t *testing.T) {
		_, ok := c.Match("listings", "other", "GET", "/")
		is.New(t).True(!ok)
	})
}

func TestFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown section", base + "[regoin x]\n", `expected region, link, service`},
		{"unknown key", base + "[drain x]\nupstraem = u1\ntarget = u1\n", "upstraem: expected a key known here"},
		{"duplicate section", base + "[region astana]\ncap = 5\n", "expected each section once"},
		{"duplicate key", base + "[drain x]\nzone = a\nzone = b\n", "expected each key once"},
		{"no cap", "[region a]\nzones = a-1\nfloor = 0\n", "[region a] cap: expected a whole number"},
		{"floors above the cap", "[region a]\nzones = a-1\ncap = 100\nfloor = 10\n", "floor: expected at most a 16th of cap"},
		{"zone in two regions", base + "[region c]\nzones = astana-a\ncap = 100\n", "each availability zone in one region"},
		{"unknown region", base + "[service x]\nregions = mars\n", "a region of this catalogue"},
		{"unknown service", base + "[entry x]\nservice = nope\nowner = o\nclass = browse\n", "a service of this catalogue"},
		{"unknown class", base + "[entry x]\nservice = listings\nowner = o\nclass = fast\n", "one of urgent, once, upload, browse"},
		{"duplicate entry", base + "[entry x]\nservice = listings\nowner = club\nclass = browse\n", "the same as all"},
		{"shift to itself", base + "[shift x]\nservice = listings\nfrom = astana\nto = astana\ncap = 5\n", "a region other than from"},
		{"shift above the cap", base + "[shift x]\nservice = listings\nfrom = astana\nto = almaty\ncap = 2000\n", "at most the cap of region almaty"},
		{"two shifts from one region", base + "[shift x]\nservice = listings\nfrom = astana\nto = almaty\ncap = 5\n" +
			"[shift y]\nservice = listings\nfrom = astana\nto = almaty\ncap = 5\n", "one shift away from each region"},
		{"drain of two things", base + "[drain x]\nzone = a\nregion = astana\n", "exactly one of"},
		{"duplicate block", base + "[clients almaty]\nblocks = 10.0.0.0/8, 10.0.0.0/8\n", "each block in one region"},
		{"bad block", base + "[clients almaty]\nblocks = 10.0.0.0/99\n", "blocks such as"},
		{"bad name", base + "[service a/b]\nregions = almaty\n", "a name of letters"},
		{"NUL", "[region a\x00]\n", "text without NUL bytes"},
		{"not INI", "hello\n", "sections of key = value lines"},
		{"too large", strings.Repeat(";", MaxSize+1), "at most 4194304 bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertFault(t, c.text, c.want) })
	}
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	after := strings.Replace(base, "cap = 1000", "cap = 900", 1) + "[drain x]\nzone = astana-a\n"
	edits := Diff([]byte(base), []byte("; a comment\n"+after))
	is.Equal(len(edits), 2)
	is.Equal(edits[0].String(), "+ [drain x] zone = astana-a")
	is.Equal(edits[1].String(), "~ [region almaty] cap = 1000 -> 900")
	is.Equal(len(Diff([]byte(base), []byte(base))), 0)
}

// FuzzParse checks that Parse never panics and returns only errors of type *parser.FaultsError.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte("[link a b]\ncap = 1\n[link a]\n[link  ]\n"))
	f.Add([]byte("a = b\n[\n]\n[x\n[clients \xff]\nblocks = ::/0,,1/2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("fuzz", data)
		var faults *parser.FaultsError
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("untyped error %T: %v", err, err)
		}
	})
}

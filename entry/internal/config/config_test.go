package config

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func readExample(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/settings/entry.ini")
	is.New(t).NoErr(err)
	return string(data)
}

func TestExampleIsValid(t *testing.T) {
	_, err := Parse("example", []byte(readExample(t)))
	is.New(t).NoErr(err)
}

// Guards against mistyped settings that are ignored, so that the program runs with unintended defaults: every fault is
// reported at once, before anything starts.
func TestFaultsAreReported(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "zone =", "zoen =", "[entry] zoen: expected a key known here"},
		{"bad name", "name = e1", "name = e\"1", "name: expected letters, digits and hyphens"},
		{"bad address", "caller = 127.0.2.1:8000", "caller = :8000", "caller: expected an IP number and port"},
		{"same address", "peer = 127.0.2.1:8002", "peer = 127.0.2.1:8000", "peer: expected an address apart from caller"},
		{"no controllers", "addresses = 127.0.1.1:7000, 127.0.1.2:7000, 127.0.1.3:7000", "addresses =", "at least one controller"},
		{"bad time", "renew = 200ms", "renew = soon", "renew: expected a time from"},
		{"bad number", "sample = 1", "sample = 0", "sample: expected a whole number from 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := readExample(t)
			changed := strings.Replace(text, c.old, c.replacement, 1)
			is.New(t).True(changed != text)
			_, err := Parse("example", []byte(changed))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("expected a fault with %q, got %v", c.want, err)
			}
		})
	}
	t.Run("all at once", func(t *testing.T) {
		_, err := Parse("empty", nil)
		is.New(t).True(strings.Count(err.Error(), "expected a section") == 3)
	})
}

const planSettings = `
[entry]
name = front-almaty-a-1
region = almaty
zone = almaty-a

[listen]
caller = 10.1.0.35:8144
ready = 10.1.0.35:8140
operator = 10.1.0.35:9464

[seeds]
addresses = 10.1.0.37:8146, 10.2.0.30:8146
port = 7660

[memory]
limit = 284
`

// Seeds give the controllers' addresses for the platform's calls; entry instances call them at another port.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	c, err := Parse("routed", []byte(planSettings))
	is.NoErr(err)
	is.Equal(c.Seeds[1].String(), "10.2.0.30:7660")
	is.Equal(c.MemoryLimit, int64(284<<20))
	for old, replacement := range map[string]string{
		"port = 7660": "port = 0", "ready = 10.1.0.35:8140\n": "", "limit = 284": "limit = 1", "10.2.0.30:8146": "somewhere",
	} {
		_, err := Parse("routed", []byte(strings.Replace(planSettings, old, replacement, 1)))
		is.True(err != nil)
	}
}

package config

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/settings/entry.ini")
	is.New(t).NoErr(err)
	return string(data)
}

func TestExampleIsValid(t *testing.T) {
	_, err := Parse("example", []byte(example(t)))
	is.New(t).NoErr(err)
}

// A setting is mistyped. Were it ignored, the program would run with a default that nobody asked for; so
// every fault is named at once, before anything starts.
func TestFaultsAreNamed(t *testing.T) {
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
			text := example(t)
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

const routed = `
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

// Only the controllers' addresses for other callers are known at the start; calls of our own go to another port.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	c, err := Parse("routed", []byte(routed))
	is.NoErr(err)
	is.Equal(c.Seeds[1].String(), "10.2.0.30:7660")
	is.Equal(c.Memory, int64(284<<20))
	for old, replacement := range map[string]string{
		"port = 7660": "port = 0", "ready = 10.1.0.35:8140\n": "", "limit = 284": "limit = 1", "10.2.0.30:8146": "somewhere",
	} {
		_, err := Parse("routed", []byte(strings.Replace(routed, old, replacement, 1)))
		is.True(err != nil)
	}
}

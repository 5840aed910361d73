package config

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func exampleSettings(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/settings/controller.ini")
	is.New(t).NoErr(err)
	return string(data)
}

func TestExampleIsValid(t *testing.T) {
	_, err := Parse("example", []byte(exampleSettings(t)))
	is.New(t).NoErr(err)
}

// Guards against mistyped settings that are ignored, which would run the program with defaults that nobody asked for.
// All faults are reported at once, before anything starts.
func TestAllFaultsAreReported(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "zone =", "zoen =", "[controller] zoen: expected a key known here"},
		{"unknown section", "[log]", "[logs]", "got \"logs\""},
		{"bad address", "127.0.1.1:7000\n", "localhost:7000\n", "control: expected an IP number and port"},
		{"same address", "operator = 127.0.1.1:7001", "operator = 127.0.1.1:7000", "an address apart from control"},
		{"not a replica", "name = c1", "name = c9", "this controller among the replicas"},
		{"slow heartbeat", "heartbeat = 100ms", "heartbeat = 500ms", "at most a third of election"},
		{"bad time", "lease = 4s", "lease = 4", "lease: expected a time from"},
		{"bad level", "level = info", "level = loud", "one of debug, info, warn, error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := exampleSettings(t)
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

const settingsWithSeeds = `
[controller]
region = almaty
zone = almaty-a
folder = /data

[listen]
control = 10.1.0.37:7660
operator = 10.1.0.37:9464
callers = 10.1.0.37:8146

[seeds]
addresses = 10.1.0.37:8146, 10.2.0.30:8146
found = yes

[zones]
almaty-a = almaty
astana-a = astana
`

// Controllers that are known from seeds are named by their IP numbers, since nothing else is known of them.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	c, err := Parse("seeded", []byte(settingsWithSeeds))
	is.NoErr(err)
	is.Equal(c.Name, "10.1.0.37")
	is.Equal(c.Peers["10.2.0.30"].String(), "10.2.0.30:7660")
	is.True(c.Bootstrap)
	is.Equal(c.MaxVoters, defaultMaxVoters)
	is.Equal(c.Regions["astana-a"], "astana")
	for old, replacement := range map[string]string{
		"10.2.0.30:8146": "10.2.0.30", "found = yes": "found = perhaps", "[seeds]": "[seed]",
	} {
		_, err := Parse("seeded", []byte(strings.Replace(settingsWithSeeds, old, replacement, 1)))
		is.True(err != nil)
	}
}

// Guards against limits that are read in another unit than they are written in.
func TestLimitsOfTheProcess(t *testing.T) {
	is := is.New(t)
	c, err := Parse("example", []byte(exampleSettings(t)+"\n[memory]\nlimit = 280\n\n[descriptors]\nlimit = 4096\n"))
	is.NoErr(err)
	is.Equal(c.MemoryLimit, int64(280<<20))
	is.Equal(c.Descriptors, 4096)
	_, err = Parse("example", []byte(exampleSettings(t)+"\n[memory]\nlimit = 1\n"))
	is.True(err != nil)
}

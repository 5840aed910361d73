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

// Guards against controllers that are killed in the middle of their planned stop, where a deployment gives them less time
// than another.
func TestTimeOfAStopFollowsFromTheGracePeriod(t *testing.T) {
	cases := []struct{ name, timing, patience string }{
		{"none", "", "10s"},
		{"six seconds", "grace = 6s", "5.5s"},
		{"shortest", "grace = 1s", "916.666667ms"},
		{"longest", "grace = 24h", "23h59m59.5s"},
		{"set itself", "grace = 6s\npatience = 4s", "4s"},
		{"without a grace period", "patience = 4s", "4s"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := Parse("seeded", []byte(settingsWithSeeds+"\n[timing]\n"+c.timing+"\n"))
			is.NoErr(err)
			is.Equal(settings.StopTimeout.String(), c.patience)
		})
	}
	for _, timing := range []string{"grace = 6", "grace = s", "grace = 0s", "grace = 25h", "grace = 6s\npatience = 6s"} {
		t.Run(timing, func(t *testing.T) {
			_, err := Parse("seeded", []byte(settingsWithSeeds+"\n[timing]\n"+timing+"\n"))
			is.New(t).True(err != nil)
		})
	}
}

// deployedSettings returns the deployment's settings with its placeholders filled in. The grace period is empty where the
// deployment names none.
func deployedSettings(t *testing.T, grace string) string {
	t.Helper()
	data, err := os.ReadFile("../../../deploy/controller.ini")
	is.New(t).NoErr(err)
	text := string(data)
	hidden, shown := "#", "^"
	if grace != "" {
		hidden, shown = "^", "#"
	}
	const field = "terms.bounds.graceS"
	before, rest, _ := strings.Cut(text, "{{"+hidden+field+"}}")
	_, after, _ := strings.Cut(rest, "{{/"+field+"}}")
	text = before + after
	quotas, _, _ := strings.Cut(text, "{{#terms.bounds.quotaWindowS}}")
	_, limits, _ := strings.Cut(text, "{{/terms.bounds.quotaWindowS}}")
	return strings.NewReplacer(
		"{{"+shown+field+"}}", "", "{{/"+field+"}}", "", "{{"+field+"}}", grace,
		"{{#bootstrap}}", "", "{{/bootstrap}}", "", "{{#zones}}{{@}} = {{.}}", "almaty-a = almaty", "{{/zones}}", "",
		"{{dataDir}}", "/data", "{{region}}", "almaty", "{{zone}}", "almaty-a", "{{ip}}", "10.1.0.37",
		"{{listen.control}}", "10.1.0.37:8146", "{{listen.directory}}", "10.1.0.37:8147", "{{internalPorts.0}}", "7660",
		"{{seeds}}", "10.1.0.37:8146,10.2.0.30:8146", "{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100",
	).Replace(quotas + limits)
}

// Guards against a deployment whose processes don't start, or stop later than they are killed.
func TestDeployedSettings(t *testing.T) {
	for grace, patience := range map[string]string{"6": "5.5s", "2.5": "2.291666667s", "": "4s"} {
		t.Run("grace "+grace, func(t *testing.T) {
			is := is.New(t)
			text := deployedSettings(t, grace)
			is.True(!strings.Contains(text, "{{"))
			settings, err := Parse("deployed", []byte(text))
			is.NoErr(err)
			is.Equal(settings.StopTimeout.String(), patience)
		})
	}
}

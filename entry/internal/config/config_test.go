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

// Guards against instances that are killed in the middle of their planned stop, where a deployment gives them less time
// than another, and against stops that end sooner than they must.
func TestTimesOfAStopFollowFromTheGracePeriod(t *testing.T) {
	cases := []struct{ name, timing, answer, patience string }{
		{"none", "", "5s", "30m0s"},
		{"six seconds", "grace = 6s", "2.5s", "5.5s"},
		{"two and a half", "grace = 2.5s", "1.041666667s", "2.291666667s"},
		{"shortest", "grace = 1s", "416.666667ms", "916.666667ms"},
		{"longest", "grace = 24h", "5s", "23h59m59.5s"},
		{"long", "grace = 1m", "5s", "59.5s"},
		{"set themselves", "grace = 6s\nanswer = 1s\npatience = 4s", "1s", "4s"},
		{"without a grace period", "answer = 1s\npatience = 4s", "1s", "4s"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := Parse("routed", []byte(planSettings+"\n[timing]\n"+c.timing+"\n"))
			is.NoErr(err)
			is.Equal(settings.AnswerMaxAge.String(), c.answer)
			is.Equal(settings.StopTimeout.String(), c.patience)
		})
	}
	for _, timing := range []string{"grace = 6", "grace = s", "grace = 0s", "grace = 25h", "grace = 6s\npatience = 6s"} {
		t.Run(timing, func(t *testing.T) {
			_, err := Parse("routed", []byte(planSettings+"\n[timing]\n"+timing+"\n"))
			is.New(t).True(err != nil)
		})
	}
}

// deployedSettings returns the deployment's settings with its placeholders filled in. The grace period is empty where the
// deployment names none.
func deployedSettings(t *testing.T, grace string) string {
	t.Helper()
	data, err := os.ReadFile("../../../deploy/entry.ini")
	is.New(t).NoErr(err)
	text := string(data)
	hidden, shown := "#", "^"
	if grace != "" {
		hidden, shown = "^", "#"
	}
	const field = "terms.bounds.graceS"
	before, rest, _ := strings.Cut(text, "{{"+hidden+field+"}}")
	_, after, _ := strings.Cut(rest, "{{/"+field+"}}")
	return strings.NewReplacer(
		"{{"+shown+field+"}}", "", "{{/"+field+"}}", "", "{{"+field+"}}", grace,
		"{{node}}", "front-1", "{{region}}", "almaty", "{{zone}}", "almaty-a", "{{ip}}", "10.1.0.35",
		"{{listen.frontend}}", "10.1.0.35:8144", "{{listen.readiness}}", "10.1.0.35:8140",
		"{{internalPorts.0}}", "7660", "{{seeds}}", "10.1.0.37:8146,10.2.0.30:8146", "{{limits.memoryMb}}", "284",
	).Replace(before + after)
}

// Guards against a deployment whose processes don't start, or stop later than they are killed.
func TestDeployedSettings(t *testing.T) {
	for grace, patience := range map[string]string{"6": "5.5s", "2.5": "2.291666667s", "": "5.5s"} {
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

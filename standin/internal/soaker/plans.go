package soaker

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// changeLimit is the time within which an accepted change has to be in force.
const changeLimit = 2500 * time.Millisecond

// Lines of an entry instance's log: the start of a process, and a plan that comes into force.
var (
	startLine = regexp.MustCompile(`msg=starting `)
	planLine  = regexp.MustCompile(`ts=(\S+) .*msg="plan in force" version=(\d+)`)
)

// checkFirstPlans checks that no process of an entry instance has begun by a plan that is older than one accepted
// changeLimit before.
func (w *checker) checkFirstPlans(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		w.fail("log of an entry instance: %v", err)
		return
	}
	first, starts := true, 0
	for line := range strings.Lines(string(data)) {
		if startLine.MatchString(line) {
			first = true
			starts++
			continue
		}
		m := planLine.FindStringSubmatch(line)
		if m == nil || !first {
			continue
		}
		first = false
		w.checkFirstPlan(filepath.Base(path), m[1], m[2])
	}
	if starts == 0 {
		w.fail("%s shows no start", path)
	}
}

func (w *checker) checkFirstPlan(name, at, version string) {
	t, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		w.fail("%s: time of a plan: %v", name, err)
		return
	}
	n, err := strconv.Atoi(version)
	if err != nil {
		w.fail("%s: version of a plan: %v", name, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.accepted {
		if a.version > n && t.Sub(a.at) > changeLimit {
			w.note("%s begins by version %d %s after %d was accepted", name, n, t.Sub(a.at), a.version)
			return
		}
	}
}

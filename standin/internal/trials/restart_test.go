package trials

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
)

// changeBound is the time within which an accepted change has to be in force.
const changeBound = 2500 * time.Millisecond

var planInForce = regexp.MustCompile(`msg="plan in force" version=(\d+)`)

// plansAfter returns the versions that an entry instance has put in force, from an offset of its log on.
func (f *fleet) plansAfter(t *testing.T, entry, offset int) []int {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join(f.Folder, f.Entries[entry].Name+".log"))
	is.NoErr(err)
	var out []int
	for _, m := range planInForce.FindAllSubmatch(data[offset:], -1) {
		v, err := strconv.Atoi(string(m[1]))
		is.NoErr(err)
		out = append(out, v)
	}
	return out
}

func (f *fleet) logSize(t *testing.T, entry int) int {
	t.Helper()
	info, err := os.Stat(filepath.Join(f.Folder, f.Entries[entry].Name+".log"))
	is.New(t).NoErr(err)
	return int(info.Size())
}

// restartAll kills all controllers and entry instances, and starts them again after a while. It returns the sizes of the
// entry instances' logs in between.
func (f *fleet) restartAll(t *testing.T, down time.Duration) []int {
	t.Helper()
	is := is.New(t)
	for _, p := range slices.Concat(f.Controllers, f.Entries) {
		p.Kill()
	}
	time.Sleep(down)
	var sizes []int
	for i := range f.Entries {
		sizes = append(sizes, f.logSize(t, i))
	}
	for i := range f.Controllers {
		is.NoErr(f.StartPlatformController(i, false))
	}
	for i := range f.Entries {
		is.NoErr(f.StartPlatformEntry(i))
	}
	return sizes
}

// Guards against entry instances that begin to work by an older plan than an accepted one, because their controller
// reaches the others after the restart of all, but does not know yet what was accepted.
func TestFirstPlanAfterTheRestartOfAll(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 5, 6, 4)
	for v := 2; v < 5; v++ {
		until(t, "a plan is accepted", func() bool {
			return f.operator.Put(context.Background(), speaker.Plan(v, v-1, service)) == http.StatusOK
		})
		for i, size := range f.restartAll(t, changeBound) {
			until(t, "the entry instance has a plan", func() bool { return len(f.plansAfter(t, i, size)) > 0 })
			is.True(f.plansAfter(t, i, size)[0] >= v) // the first plan is at least as new as the accepted one
		}
	}
}

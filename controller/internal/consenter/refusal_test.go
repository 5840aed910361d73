package consenter

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/replicator"
	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
)

// disk opens real files, and refuses to write while full is set. Each sync takes pause, in nanoseconds, longer than that of
// the real file.
type disk struct {
	full  atomic.Bool
	pause atomic.Int64
}

type diskFile struct {
	*os.File
	disk *disk
}

func (d *disk) OpenFile(path string, flag int, mode fs.FileMode) (storer.File, error) {
	if d.full.Load() && flag&os.O_CREATE != 0 {
		return nil, syscall.ENOSPC
	}
	file, err := os.OpenFile(path, flag, mode)
	return &diskFile{file, d}, err
}

func (f *diskFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *diskFile) Sync() error {
	time.Sleep(time.Duration(f.disk.pause.Load()))
	return f.File.Sync()
}

// group is a group of controllers that deliver each other's messages directly, once all have started.
type group struct {
	started     atomic.Bool
	controllers []*Consenter
	disks       []*disk
	fatal       chan error
	version     uint64
	// plan is what propose sends, with the next version.
	plan *wire.Plan
}

// Send implements Sender. Addresses are 10.0.0.N for controller N.
func (g *group) Send(address netip.AddrPort, m *wire.Message) {
	if !g.started.Load() {
		return
	}
	c := g.controllers[address.Addr().As4()[3]]
	select {
	case c.events <- deliverEvent{[]*wire.Message{m}}:
	default:
	}
}

// startGroup starts a group of three controllers. The disk of the last one is full if full is set.
func startGroup(t *testing.T, full bool) *group {
	t.Helper()
	is := is.New(t)
	g := &group{fatal: make(chan error, 3)}
	peers := map[string]netip.AddrPort{}
	for i := range 3 {
		peers[fmt.Sprint("c", i)] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		g.disks = append(g.disks, &disk{})
	}
	g.disks[2].full.Store(full)
	for i := range 3 {
		name := fmt.Sprint("c", i)
		g.controllers = append(g.controllers, &Consenter{
			Folder: t.TempDir(), Member: &wire.Member{Name: name, Address: peers[name].String()}, Peers: peers, MaxVoters: 3,
			Bootstrap: true, Sender: g, Logger: log.NewNopLogger(), Fatal: g.fatal, Opener: g.disks[i],
			Timing: replicator.Timing{
				Election: 300 * time.Millisecond, Heartbeat: 50 * time.Millisecond, ReplaceAfter: time.Minute,
			},
			Lease: time.Second,
		})
	}
	for _, c := range g.controllers {
		is.NoErr(c.Start(context.Background(), nil))
		t.Cleanup(func() { is.NoErr(c.Stop(context.Background())) })
	}
	g.started.Store(true)
	return g
}

// leader waits for a controller that leads.
func (g *group) leader(t *testing.T) int {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i, c := range g.controllers {
			if s := c.Summary(); s != nil && s.Leads {
				return i
			}
		}
	}
	t.Fatal("no controller leads")
	return 0
}

// propose proposes the next plan to all controllers in turn and reports whether it was accepted within a time.
func (g *group) propose(t *testing.T, within time.Duration) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	change := &wire.PlanChange{
		Version: g.version + 1, Base: g.version, Digest: fmt.Append(nil, g.version+1), Plan: g.plan,
	}
	for ctx.Err() == nil {
		for _, c := range g.controllers {
			attempt, cancelAttempt := context.WithTimeout(ctx, time.Second)
			result, err := c.Propose(attempt, &wire.Command{Plan: change})
			cancelAttempt()
			if err == nil && result.GetPlan().GetOutcome() == wire.PlanOutcome_PLAN_ACCEPTED {
				g.version++
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// assertInForce fails unless a controller has the newest accepted plan within some seconds, and none has ended.
func (g *group) assertInForce(t *testing.T, controller int) {
	t.Helper()
	is := is.New(t)
	deadline := time.Now().Add(5 * time.Second)
	for g.controllers[controller].Routing().Plan.GetVersion() < g.version && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.controllers[controller].Routing().Plan.GetVersion(), g.version)
	is.Equal(len(g.fatal), 0)
}

// Guards against controllers that end when their disk is full, are started again and end again: they count as running, and
// are missing once the disk takes bytes again and another one is lost.
func TestFullDiskLeavesAControllerInTheGroup(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			g := startGroup(t, false)
			is.True(g.propose(t, 5*time.Second))
			broken := g.leader(t)
			if role == "follower" {
				broken = (broken + 1) % 3
			}
			g.assertInForce(t, broken)
			g.disks[broken].full.Store(true)
			for range 3 {
				is.True(g.propose(t, 5*time.Second))
			}
			is.True(g.controllers[broken].Routing().Plan.GetVersion() >= 1) // it answers with what it had
			g.disks[broken].full.Store(false)
			g.assertInForce(t, broken)
			other := (broken + 1) % 3
			g.disks[other].full.Store(true)
			is.True(g.propose(t, 5*time.Second)) // it has its vote
			g.assertInForce(t, broken)
		})
	}
}

// Guards against changes that are acknowledged although too few disks hold them, and against those that are lost.
func TestFullDisksAcknowledgeNothing(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, false)
	is.True(g.propose(t, 5*time.Second))
	for _, d := range g.disks[:2] {
		d.full.Store(true)
	}
	is.True(!g.propose(t, time.Second))
	for _, d := range g.disks[:2] {
		d.full.Store(false)
	}
	is.True(g.propose(t, 5*time.Second))
	for i := range g.controllers {
		g.assertInForce(t, i)
	}
}

// Guards against a controller that can't start while its disk is full.
func TestControllerStartsOnAFullDisk(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, true)
	is.True(g.propose(t, 5*time.Second))
	g.disks[2].full.Store(false)
	g.assertInForce(t, 2)
}

// Guards against a folder that can't be used and goes unnoticed at the start.
func TestUnusableFolderIsReported(t *testing.T) {
	is := is.New(t)
	file := t.TempDir() + "/file"
	is.NoErr(os.WriteFile(file, nil, 0o600))
	c := &Consenter{Folder: file, Member: &wire.Member{Name: "c"}, Logger: log.NewNopLogger()}
	var failed *storer.FileError
	is.True(errors.As(c.Start(context.Background(), nil), &failed))
}

// Guards against a founder that founds the group again, with its former vote and without its log, when its disk is lost while
// it runs.
func TestEmptiedDiskIsANewReplica(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, false)
	is.True(g.propose(t, 5*time.Second))
	broken := (g.leader(t) + 1) % 3
	g.assertInForce(t, broken)
	c := g.controllers[broken]
	g.disks[broken].full.Store(true)
	is.True(g.propose(t, 5*time.Second))
	is.NoErr(os.RemoveAll(c.Folder))
	g.disks[broken].full.Store(false)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if identity, err := os.ReadFile(c.Folder + "/identity"); err == nil && len(identity) > 0 {
			break
		}
	}
	status, err := c.Status(t.Context())
	is.NoErr(err)
	is.True(status != nil)
	var incarnation uint64
	is.NoErr(c.call(t.Context(), func(time.Time) { incarnation = c.Member.GetIncarnation() }))
	is.True(incarnation != founderIncarnation)
	is.True(g.propose(t, 5*time.Second))
	g.assertInForce(t, broken)
}

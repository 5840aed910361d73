package soaker

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check that blames an instance for a connection of another caller's session with another instance, from
// a port that is used towards both, or that misses the instance's own.
func TestHeldConnectionsAreKnownByBothEnds(t *testing.T) {
	caller := netip.MustParseAddrPort("127.0.0.1:40000")
	first, second := netip.MustParseAddrPort("127.1.2.1:8000"), netip.MustParseAddrPort("127.1.2.2:8000")
	now := time.Now()
	check := func(name string, instance netip.AddrPort, ended time.Duration, expected int) {
		t.Run(name, func(t *testing.T) {
			var h sessions
			h.hold(endpoints{caller, first}, now.Add(-ended))
			found := h.overdue(instance, []netip.AddrPort{caller}, now)
			is.New(t).Equal(len(found), expected)
		})
	}
	check("same instance", first, closedLimit+time.Millisecond, 1)
	check("same instance in time", first, closedLimit, 0)
	check("another instance", second, 2*closedLimit, 0)
	t.Run("both", func(t *testing.T) {
		is := is.New(t)
		var h sessions
		h.hold(endpoints{caller, first}, now.Add(-2*closedLimit))
		h.hold(endpoints{caller, second}, now)
		is.Equal(len(h.overdue(first, []netip.AddrPort{caller}, now)), 1)
		is.Equal(len(h.overdue(second, []netip.AddrPort{caller}, now)), 0)
	})
}

package carrier

import (
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"chervilrail.example/core/messenger"
	"chervilrail.example/core/wire"
)

// Guards against instances that do not call a sound peer for a while because the key of one caller's request can't be
// encoded.
func TestObjectsOfUnreadableKeysCanBeEncoded(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for _, key := range []string{"a", "a\xff", "a\xfe", "\xff"} {
		j := &job{route: &wire.Route{Name: "r", Sticky: true}, call: messenger.Call{Key: key}}
		is.True(utf8.ValidString(j.objectName()))
		names[j.objectName()] = true
	}
	is.Equal(len(names), 4) // different keys stay different objects
}

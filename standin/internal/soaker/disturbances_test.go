package soaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check that blames an instance in the middle of a long stop, which neither began nor ended near.
func TestDisturbanceLastsUntilItsEnd(t *testing.T) {
	is := is.New(t)
	d := &disturbances{}
	before := time.Now()
	end := d.begin("e1")
	is.True(d.between("e1", before, time.Now()))
	is.True(d.between("e1", time.Now().Add(time.Hour), time.Now().Add(2*time.Hour))) // it lasts
	is.True(!d.between("e1", before.Add(-time.Hour), before))
	is.True(!d.between("e2", before, time.Now()))
	end()
	after := time.Now().Add(time.Nanosecond)
	is.True(d.between("e1", before, after))
	is.True(!d.between("e1", after, after.Add(time.Hour)))
}

package tuner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Tuner
	l.SetBounds(10, 12)
	t.Run("starts with the share", func(t *testing.T) { is.New(t).Equal(l.Limit(), 10) })
	t.Run("one burst of refusals counts once", func(t *testing.T) {
		is := is.New(t)
		for range 50 {
			l.RecordShed(now)
		}
		is.Equal(l.Limit(), 8)
	})
	t.Run("grows only while full, up to the maximum", func(t *testing.T) {
		is := is.New(t)
		for range 1000 {
			l.RecordSuccess(false)
		}
		is.Equal(l.Limit(), 8)
		for range 1000 {
			l.RecordSuccess(true)
		}
		is.Equal(l.Limit(), 12)
	})
	t.Run("never below one", func(t *testing.T) {
		is := is.New(t)
		for i := range 100 {
			l.RecordShed(now.Add(time.Duration(i) * time.Second))
		}
		is.Equal(l.Limit(), 1)
	})
}

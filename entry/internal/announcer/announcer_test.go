package announcer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/registrar"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/directory"
)

const validAnnouncement = `{"name":"u1","incarnation":3,"sequence":4,"service":"listings","address":"127.0.0.1:9000",` +
	`"region":"almaty","zone":"almaty-a","slots":3,"load":1,"state":"ready"}`

type fakeRegister struct {
	got *wire.Record
	err error
}

func (f *fakeRegister) Announce(_ context.Context, r *wire.Record) error {
	f.got = r
	return f.err
}

func put(f *fakeRegister, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	(&Handler{Register: f}).ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/announce", strings.NewReader(body)))
	return w
}

func TestAnnouncement(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		is := is.New(t)
		f := &fakeRegister{}
		is.Equal(put(f, validAnnouncement).Code, http.StatusOK)
		is.Equal(f.got.GetSequence(), uint64(4))
	})
	t.Run("not confirmed yet", func(t *testing.T) {
		is := is.New(t)
		w := put(&fakeRegister{err: &directory.UnconfirmedError{}}, validAnnouncement)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
	})
}

func TestInvalidAnnouncements(t *testing.T) {
	bodies := map[string]string{
		"empty": "", "not JSON": "hello", "unknown field": `{"nam":"u1"}`,
		"two objects":      validAnnouncement + validAnnouncement,
		"unknown state":    strings.Replace(validAnnouncement, "ready", "asleep", 1),
		"negative":         strings.Replace(validAnnouncement, "3", "-3", 1),
		"number too large": strings.Replace(validAnnouncement, `"slots":3`, `"slots":99999999999`, 1),
		"too long":         `{"name":"` + strings.Repeat("x", maxBody) + `"}`,
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			f := &fakeRegister{}
			is.New(t).Equal(put(f, body).Code, http.StatusBadRequest)
			is.New(t).Equal(f.got, nil)
		})
	}
}

// FuzzDecode checks that Decode never panics and that each of its errors is an AnnouncementError.
func FuzzDecode(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{"state":"leaving"}`)
	f.Add("\x00{[")
	f.Fuzz(func(t *testing.T, body string) {
		_, err := Decode(strings.NewReader(body))
		var refused *registrar.AnnouncementError
		if err != nil && !errors.As(err, &refused) {
			t.Fatalf("untyped error %T: %v", err, err)
		}
	})
}

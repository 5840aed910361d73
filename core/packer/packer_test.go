package packer

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/core/wire"
)

func part(from, to int) *wire.WatchResponse {
	out := &wire.WatchResponse{}
	for i := from; i < to; i++ {
		out.Records = append(out.Records, &wire.Record{Name: fmt.Sprintf("target-%d", i), Service: "listings", Slots: 3})
	}
	return out
}

// Guards against records that an entry instance loses because another part of the response came packed.
func TestPartsAreAddedToTheResponse(t *testing.T) {
	is := is.New(t)
	var p Packer
	response := part(0, 2)
	response.Counter = 7
	for _, more := range []*wire.WatchResponse{part(2, 500), {Plan: &wire.Plan{Version: 4}}} {
		data, err := p.Pack(more)
		is.NoErr(err)
		response.Packed = append(response.Packed, data)
	}
	is.NoErr(Unpack(response))
	is.Equal(len(response.GetRecords()), 500)
	is.Equal(response.GetRecords()[499].GetName(), "target-499")
	is.Equal(response.GetPlan().GetVersion(), uint64(4))
	is.Equal(response.GetCounter(), uint64(7))
	is.Equal(len(response.GetPacked()), 0)
}

// Guards against a damaged response that ends the process or is taken for an empty one.
func TestDamagedPartsAreErrors(t *testing.T) {
	var p Packer
	data, err := p.Pack(part(0, 500))
	is.New(t).NoErr(err)
	for name, damaged := range map[string][]byte{"cut": data[:len(data)/2], "empty": {}, "other": []byte("no gzip")} {
		t.Run(name, func(t *testing.T) {
			var failure *Error
			is.New(t).True(errors.As(Unpack(&wire.WatchResponse{Packed: [][]byte{damaged}}), &failure))
		})
	}
}

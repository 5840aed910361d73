package replicator

import (
	"slices"

	"chervilrail.example/core/wire"
)

const (
	// maxBatch and maxBatchBytes bound the entries of one message, maxInflight and maxInflightBytes the messages with
	// entries to one replica that it has not acknowledged. A larger entry is sent alone.
	maxBatch         = 256
	maxBatchBytes    = 1 << 20
	maxInflight      = 8
	maxInflightBytes = 4 << 20
	// transferRate is how many bytes a second a replica receives at least; slower transfers are taken for lost.
	transferRate = 1 << 20
	// BulkBytes is the size in bytes above which messages may be overtaken by smaller ones.
	BulkBytes = 8 << 10
)

// window holds the messages with entries that a replica has not acknowledged, oldest first.
type window struct {
	messages []sentEntries
	bytes    int
}

// sentEntries is a message with the entries after previous up to last.
type sentEntries struct {
	previous uint64
	last     uint64
	bytes    int
}

func (w *window) add(m sentEntries) {
	w.messages = append(w.messages, m)
	w.bytes += m.bytes
}

// includes reports whether a message with the entries after an index is under way.
func (w *window) includes(previous uint64) bool {
	return slices.ContainsFunc(w.messages, func(m sentEntries) bool { return m.previous == previous })
}

// acknowledge removes the messages with entries up to an index, and reports whether there were any.
func (w *window) acknowledge(index uint64) bool {
	removed := 0
	for removed < len(w.messages) && w.messages[removed].last <= index {
		w.bytes -= w.messages[removed].bytes
		removed++
	}
	w.messages = w.messages[removed:]
	return removed > 0
}

// last returns the index of the last entry that is under way.
func (w *window) last() uint64 { return w.messages[len(w.messages)-1].last }

func (w *window) clear() { *w = window{} }

func (w *window) empty() bool { return len(w.messages) == 0 }

// admit returns how many of the given entries the next message may hold, and their size in bytes.
func (w *window) admit(entries []*wire.Entry) (count, bytes int) {
	if len(w.messages) >= maxInflight {
		return 0, 0
	}
	room := min(maxBatchBytes, maxInflightBytes-w.bytes)
	for _, e := range entries[:min(maxBatch, len(entries))] {
		alone := w.empty() && count == 0
		if bytes+entrySize(e) > room && !alone {
			break
		}
		bytes += entrySize(e)
		count++
	}
	return count, bytes
}

package replicator

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// entryOverhead is about how many bytes an entry takes besides its data.
const entryOverhead = 64

// entrySize returns about how many bytes an entry takes in memory and in messages.
func entrySize(e *wire.Entry) int { return len(e.GetData()) + entryOverhead }

// entryLog holds the latest snapshot, the entries after base, and the replica sets that the entries after the snapshot
// carry. Base is at or before the snapshot: the entries between them are kept for replicas that are a little behind.
type entryLog struct {
	snapshot *wire.Snapshot
	base     position
	entries  []*wire.Entry
	configs  []indexedConfig
}

// position is the index of an entry and its term.
type position struct {
	index uint64
	term  uint64
}

type indexedConfig struct {
	index  uint64
	config *wire.Config
}

func (j *entryLog) reset(snapshot *wire.Snapshot) {
	if snapshot == nil {
		snapshot = &wire.Snapshot{}
	}
	j.snapshot = snapshot
	j.base = position{snapshot.GetIndex(), snapshot.GetTerm()}
	j.entries = nil
	j.configs = nil
}

func (j *entryLog) last() uint64 {
	return j.base.index + uint64(len(j.entries))
}

// term returns the term of the entry at index, or 0 if the log does not hold it.
func (j *entryLog) term(index uint64) uint64 {
	if index == j.base.index {
		return j.base.term
	}
	if index < j.base.index || index > j.last() {
		return 0
	}
	return j.entries[index-j.base.index-1].GetTerm()
}

func (j *entryLog) slice(from, to uint64) []*wire.Entry {
	out := make([]*wire.Entry, 0, to-from+1)
	return append(out, j.entries[from-j.base.index-1:to-j.base.index]...)
}

func (j *entryLog) append(entries ...*wire.Entry) {
	for _, e := range entries {
		if e.GetIndex() <= j.snapshot.GetIndex() {
			continue
		}
		if e.GetIndex() <= j.last() {
			j.truncate(e.GetIndex())
		}
		j.entries = append(j.entries, e)
		j.addConfig(e)
	}
}

func (j *entryLog) addConfig(e *wire.Entry) {
	if e.GetKind() != wire.EntryKind_ENTRY_CONFIG {
		return
	}
	config := &wire.Config{}
	if err := proto.Unmarshal(e.GetData(), config); err != nil {
		return
	}
	j.configs = append(j.configs, indexedConfig{e.GetIndex(), config})
}

// truncate drops the entry at index and all later ones.
func (j *entryLog) truncate(index uint64) {
	kept := index - j.base.index - 1
	// An entry that the array still held would take memory until the array is replaced.
	clear(j.entries[kept:])
	j.entries = j.entries[:kept]
	for len(j.configs) > 0 && j.configs[len(j.configs)-1].index >= index {
		j.configs = j.configs[:len(j.configs)-1]
	}
}

// config returns the newest replica set, committed or not.
func (j *entryLog) config() *wire.Config {
	if n := len(j.configs); n > 0 {
		return j.configs[n-1].config
	}
	return j.snapshot.GetConfig()
}

func (j *entryLog) configIndex() uint64 {
	if n := len(j.configs); n > 0 {
		return j.configs[n-1].index
	}
	return j.snapshot.GetIndex()
}

func (j *entryLog) configBefore(index uint64) *wire.Config {
	out := j.snapshot.GetConfig()
	for _, c := range j.configs {
		if c.index <= index {
			out = c.config
		}
	}
	return out
}

// compact makes a snapshot of the state at index the latest one. It keeps the entries after the former one: a replica that
// has just received that, or is a little behind, goes on from the log. Otherwise, while large entries are added, a slow
// replica would get one snapshot after the other.
func (j *entryLog) compact(index uint64, data []byte) *wire.Snapshot {
	if index <= j.snapshot.GetIndex() || index > j.last() {
		return j.snapshot
	}
	former := j.snapshot
	snapshot := &wire.Snapshot{
		Index:  index,
		Term:   j.term(index),
		Config: j.configBefore(index),
		Data:   data,
	}
	kept := j.slice(former.GetIndex()+1, j.last())
	j.configs = slices.DeleteFunc(j.configs, func(c indexedConfig) bool { return c.index <= index })
	j.snapshot, j.entries = snapshot, kept
	j.base = position{former.GetIndex(), former.GetTerm()}
	return snapshot
}

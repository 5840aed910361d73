package replicator

import (
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// journal is the log after the latest snapshot, with the replica sets that its entries carry.
type journal struct {
	snapshot *wire.Snapshot
	entries  []*wire.Entry
	configs  []configAt
}

type configAt struct {
	index  uint64
	config *wire.Config
}

func (j *journal) reset(snapshot *wire.Snapshot) {
	if snapshot == nil {
		snapshot = &wire.Snapshot{}
	}
	j.snapshot = snapshot
	j.entries = nil
	j.configs = nil
}

func (j *journal) last() uint64 {
	return j.snapshot.GetIndex() + uint64(len(j.entries))
}

// term returns the term of the entry at index, or 0 where the journal does not hold it.
func (j *journal) term(index uint64) uint64 {
	if index == j.snapshot.GetIndex() {
		return j.snapshot.GetTerm()
	}
	if index < j.snapshot.GetIndex() || index > j.last() {
		return 0
	}
	return j.entries[index-j.snapshot.GetIndex()-1].GetTerm()
}

func (j *journal) slice(from, to uint64) []*wire.Entry {
	base := j.snapshot.GetIndex()
	out := make([]*wire.Entry, 0, to-from+1)
	return append(out, j.entries[from-base-1:to-base]...)
}

func (j *journal) append(entries ...*wire.Entry) {
	for _, e := range entries {
		if e.GetIndex() <= j.snapshot.GetIndex() {
			continue
		}
		if e.GetIndex() <= j.last() {
			j.truncate(e.GetIndex())
		}
		j.entries = append(j.entries, e)
		j.remember(e)
	}
}

func (j *journal) remember(e *wire.Entry) {
	if e.GetKind() != wire.EntryKind_ENTRY_CONFIG {
		return
	}
	config := &wire.Config{}
	if err := proto.Unmarshal(e.GetData(), config); err != nil {
		return
	}
	j.configs = append(j.configs, configAt{e.GetIndex(), config})
}

// truncate drops the entry at index and all after it.
func (j *journal) truncate(index uint64) {
	j.entries = j.entries[:index-j.snapshot.GetIndex()-1]
	for len(j.configs) > 0 && j.configs[len(j.configs)-1].index >= index {
		j.configs = j.configs[:len(j.configs)-1]
	}
}

// config returns the newest replica set, committed or not.
func (j *journal) config() *wire.Config {
	if n := len(j.configs); n > 0 {
		return j.configs[n-1].config
	}
	return j.snapshot.GetConfig()
}

func (j *journal) configIndex() uint64 {
	if n := len(j.configs); n > 0 {
		return j.configs[n-1].index
	}
	return j.snapshot.GetIndex()
}

func (j *journal) configBefore(index uint64) *wire.Config {
	out := j.snapshot.GetConfig()
	for _, c := range j.configs {
		if c.index <= index {
			out = c.config
		}
	}
	return out
}

func (j *journal) compact(index uint64, data []byte) *wire.Snapshot {
	if index <= j.snapshot.GetIndex() || index > j.last() {
		return j.snapshot
	}
	snapshot := &wire.Snapshot{
		Index:  index,
		Term:   j.term(index),
		Config: j.configBefore(index),
		Data:   data,
	}
	rest := j.slice(index+1, j.last())
	j.reset(snapshot)
	j.append(rest...)
	return snapshot
}

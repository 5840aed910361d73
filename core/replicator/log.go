package replicator

import (
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// entryLog holds the log after the latest snapshot, and the replica sets that its entries carry.
type entryLog struct {
	snapshot *wire.Snapshot
	entries  []*wire.Entry
	configs  []indexedConfig
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
	j.entries = nil
	j.configs = nil
}

func (j *entryLog) last() uint64 {
	return j.snapshot.GetIndex() + uint64(len(j.entries))
}

// term returns the term of the entry at index, or 0 if the log does not hold it.
func (j *entryLog) term(index uint64) uint64 {
	if index == j.snapshot.GetIndex() {
		return j.snapshot.GetTerm()
	}
	if index < j.snapshot.GetIndex() || index > j.last() {
		return 0
	}
	return j.entries[index-j.snapshot.GetIndex()-1].GetTerm()
}

func (j *entryLog) slice(from, to uint64) []*wire.Entry {
	base := j.snapshot.GetIndex()
	out := make([]*wire.Entry, 0, to-from+1)
	return append(out, j.entries[from-base-1:to-base]...)
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
	j.entries = j.entries[:index-j.snapshot.GetIndex()-1]
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

func (j *entryLog) compact(index uint64, data []byte) *wire.Snapshot {
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

package quorum

import "github.com/vmihailenco/msgpack/v5"

// retainedEntries is the number of entries that stay in memory before a snapshot's index, and
// retainedBytes limits their size, so that a replica slightly behind is sent entries instead of the
// snapshot.
const (
	retainedEntries = 1024
	retainedBytes   = 4 << 20
)

// memLog is the recent part of the log, with the positions up to which it is committed, handed out
// to be persisted and handed out to be applied.
//
// Invariant: base <= snap.Index <= applied <= committed <= last.
type memLog struct {
	snap      Snapshot
	base      uint64 // index just before entries[0]
	baseTerm  uint64
	entries   []Entry // entries[i].Index == base+1+i
	committed uint64
	applied   uint64 // highest index handed out in Ready.Committed
	handedOut uint64 // highest index handed out in Ready.Entries
	configs   []configAt
	retain    uint64 // number of entries to keep in memory before a snapshot's index
}

// configAt is a configuration and its log index. It takes effect when it is appended.
type configAt struct {
	index  uint64
	config Config
}

func newMemLog(snap Snapshot, entries []Entry, committed uint64) *memLog {
	l := &memLog{snap: snap, base: snap.Index, baseTerm: snap.Term, committed: snap.Index, applied: snap.Index, handedOut: snap.Index,
		retain: retainedEntries}
	l.configs = []configAt{{snap.Index, snap.Config}}
	l.append(entries)
	l.handedOut = l.last()
	l.commitTo(committed)
	return l
}

func (l *memLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term at index i. ok is false if i is compacted or beyond the last index.
func (l *memLog) term(i uint64) (term uint64, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the entries from lo on, limited to about maxBytes but at least one if there is any.
func (l *memLog) slice(lo uint64, maxBytes int) []Entry {
	if lo > l.last() {
		return nil
	}
	all := l.entries[lo-l.base-1:]
	size := 0
	for i, e := range all {
		size += e.bytes()
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// entryOverhead is the approximate encoded size of an entry without its data, in bytes.
const entryOverhead = 24

func (e Entry) bytes() int { return len(e.Data) + entryOverhead }

func entriesBytes(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += e.bytes()
	}
	return n
}

func (l *memLog) append(entries []Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind == EntryConfig {
			l.configs = append(l.configs, configAt{e.Index, decodeConfig(e.Data)})
		}
	}
}

// merge appends entries from a leader and drops existing ones that conflict with them.
//
// A conflict at or below the commit index would change a committed entry. The protocol rules that
// out, so it panics: returning an error and continuing would spread the corruption.
func (l *memLog) merge(entries []Entry) {
	for i, e := range entries {
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.committed {
			panic("quorum: a committed entry would be replaced")
		}
		l.truncateFrom(e.Index)
		l.append(entries[i:])
		return
	}
}

func (l *memLog) truncateFrom(index uint64) {
	if index > l.last() {
		return
	}
	// A message that is still being sent may refer to the old array.
	l.entries = append([]Entry(nil), l.entries[:index-l.base-1]...)
	l.handedOut = min(l.handedOut, index-1)
	for l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

func (l *memLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

// config returns the latest configuration in the log and its index.
func (l *memLog) config() configAt { return l.configs[len(l.configs)-1] }

// configUpTo returns the configuration in effect at index.
func (l *memLog) configUpTo(index uint64) Config {
	for i := len(l.configs) - 1; i > 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].config
		}
	}
	return l.configs[0].config
}

// compact records a snapshot of the applied part and drops the entries it covers, except for the
// last l.retain ones and those after index needed (see neededFrom), unless the latter exceed
// pinnedBytes.
func (l *memLog) compact(s Snapshot, needed uint64) {
	if s.Index <= l.snap.Index || s.Index > l.applied {
		return
	}
	l.snap = s
	base := l.retainedFrom(s.Index)
	if base == l.base {
		return
	}
	if needed < base && needed >= l.base && entriesBytes(l.entries[needed-l.base:base-l.base]) <= pinnedBytes {
		base = needed
	}
	term, _ := l.term(base)
	config := l.configUpTo(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, term
	l.rebaseConfigs(configAt{base, config})
}

// retainedFrom returns the index after which entries before index stay in memory.
func (l *memLog) retainedFrom(index uint64) uint64 {
	base, size := index, 0
	for base > l.base && index-base < l.retain {
		size += l.entries[base-l.base-1].bytes()
		if size > retainedBytes {
			break
		}
		base--
	}
	return base
}

func (l *memLog) rebaseConfigs(first configAt) {
	configs := []configAt{first}
	for _, c := range l.configs {
		if c.index > first.index {
			configs = append(configs, c)
		}
	}
	l.configs = configs
}

// after returns the entries after an index that is still in memory.
func (l *memLog) after(index uint64) []Entry { return l.entries[index-l.base:] }

// holds reports whether consecutive entries are all part of the log.
func (l *memLog) holds(entries []Entry) bool {
	last := entries[len(entries)-1]
	term, ok := l.term(last.Index)
	return ok && term == last.Term
}

// restore replaces the whole log with a snapshot from the leader.
func (l *memLog) restore(s Snapshot) {
	*l = memLog{snap: s, base: s.Index, baseTerm: s.Term, committed: s.Index, applied: s.Index, handedOut: s.Index, retain: l.retain}
	l.configs = []configAt{{s.Index, s.Config}}
}

func encodeConfig(c Config) []byte {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		panic(err) // a struct of strings and numbers can always be encoded
	}
	return b
}

// decodeConfig decodes a configuration entry that this program wrote to the log.
func decodeConfig(b []byte) Config {
	var c Config
	if err := msgpack.Unmarshal(b, &c); err != nil {
		panic("quorum: a configuration entry cannot be read: " + err.Error())
	}
	return c
}

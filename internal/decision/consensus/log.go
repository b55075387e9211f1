package consensus

import "galenamoor/internal/controlpb"

// entryLog holds the entries after base, the index of the last compacted entry.
type entryLog struct {
	base, baseTerm uint64
	entries        []*controlpb.Entry
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, both included. The result shares memory with the log.
func (l *entryLog) slice(first, last uint64) []*controlpb.Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

func (l *entryLog) append(entries ...*controlpb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries after index. The capacity is limited too, because outputs and messages share the memory.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.base
	l.entries = l.entries[:kept:kept]
}

// compact removes the entries up to index. It copies the rest so that the removed entries can be freed.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	l.entries = append([]*controlpb.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term}
}

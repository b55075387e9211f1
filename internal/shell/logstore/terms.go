package logstore

import "sort"

// termIndex holds the term of each log index on disk, compressed into ranges of equal terms.
type termIndex struct {
	ranges    []termRange
	lastIndex uint64 // highest index; ranges is empty if the log is
}

// termRange is a range of log indexes with the same term. It ends where the next one starts.
type termRange struct {
	first, term uint64
}

// add appends an index. If it is at or below the last one, all entries from it on are replaced.
func (t *termIndex) add(index, term uint64) {
	for len(t.ranges) > 0 && t.ranges[len(t.ranges)-1].first >= index {
		t.ranges = t.ranges[:len(t.ranges)-1]
	}
	if len(t.ranges) == 0 || t.ranges[len(t.ranges)-1].term != term {
		t.ranges = append(t.ranges, termRange{first: index, term: term})
	}
	t.lastIndex = index
}

// reset removes all entries; the next index is baseIndex + 1.
func (t *termIndex) reset(baseIndex uint64) {
	t.ranges, t.lastIndex = nil, baseIndex
}

// matches reports whether the log holds an entry with this index and term; if so, the entries after it remain valid.
func (t *termIndex) matches(index, term uint64) bool {
	if index > t.lastIndex {
		return false
	}
	after := sort.Search(len(t.ranges), func(i int) bool { return t.ranges[i].first > index })
	return after > 0 && t.ranges[after-1].term == term
}

// trimTo removes ranges that end below index.
func (t *termIndex) trimTo(index uint64) {
	for len(t.ranges) > 1 && t.ranges[1].first <= index {
		t.ranges = t.ranges[1:]
	}
}

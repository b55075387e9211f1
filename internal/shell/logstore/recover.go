package logstore

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
)

// identityFile is the JSON form of the identity file.
type identityFile struct {
	Format   uint64
	Identity uint64
	Checksum uint64 // xxhash64 of Format and Identity
}

func (f identityFile) checksum() uint64 {
	data := binary.LittleEndian.AppendUint64(nil, f.Format)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, f.Identity))
}

// listing is what the folder's names say.
type listing struct {
	identity  bool
	segments  []uint64 // sorted
	snapshots []uint64 // sorted
}

// recover reads the folder and leaves the store ready for Save.
func (s *Store) recover(newIdentity func() (uint64, error)) (*Recovered, error) {
	names, err := s.list()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	recovered := &Recovered{}
	if !names.identity {
		if recovered.Identity, err = s.initialise(names, newIdentity); err != nil {
			return nil, trace.Wrap(err)
		}
		return recovered, nil
	}
	if recovered.Identity, err = s.readIdentity(); err != nil {
		return nil, trace.Wrap(err)
	}
	if recovered.Snapshot, err = s.readSnapshot(names); err != nil {
		return nil, trace.Wrap(err)
	}
	reader := &logReader{store: s, snapshot: recovered.Snapshot}
	if err := reader.readSegments(names.segments); err != nil {
		return nil, trace.Wrap(err)
	}
	recovered.Truncated = reader.truncated
	if err := s.syncRecovered(names); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := s.resume(reader, recovered); err != nil {
		return nil, trace.Wrap(err)
	}
	return recovered, nil
}

// syncRecovered makes durable what was read. A process that was killed may have left writes and names without a sync, and
// whatever was read is relied on from now on.
func (s *Store) syncRecovered(names *listing) error {
	paths := []string{s.path(identityName)}
	for _, index := range names.snapshots {
		paths = append(paths, s.path(snapshotName(index)))
	}
	for _, segment := range s.segments {
		paths = append(paths, segment.name)
	}
	for _, path := range paths {
		if err := s.fs.Sync(path); err != nil {
			return trace.Wrap(err, "syncing %s", path)
		}
	}
	return trace.Wrap(s.fs.SyncDir(s.folder), "syncing %s", s.folder)
}

// list sorts out the names in the folder and removes temporary files of an interrupted write.
func (s *Store) list() (*listing, error) {
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", s.folder)
	}
	l := &listing{}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return nil, trace.Wrap(err, "removing %s", s.path(name))
			}
			continue
		}
		if name == identityName {
			l.identity = true
		}
		if sequence, ok := parseName(name, segmentPrefix); ok {
			l.segments = append(l.segments, sequence)
		}
		if index, ok := parseName(name, snapshotPrefix); ok {
			l.snapshots = append(l.snapshots, index)
		}
	}
	return l, nil
}

// initialise prepares an empty folder. The identity file is written last: a folder without one may hold at most the
// empty first segment of an interrupted initialisation.
func (s *Store) initialise(names *listing, newIdentity func() (uint64, error)) (uint64, error) {
	if err := s.checkUnused(names); err != nil {
		return 0, trace.Wrap(err)
	}
	if newIdentity == nil {
		newIdentity = RandomIdentity
	}
	identity, err := newIdentity()
	if err != nil {
		return 0, trace.Wrap(err, "choosing a replica identity")
	}
	if err := s.fs.SyncDir(filepath.Dir(s.folder)); err != nil {
		return 0, trace.Wrap(err, "syncing %s", filepath.Dir(s.folder))
	}
	if err := s.roll(); err != nil {
		return 0, trace.Wrap(err)
	}
	file := identityFile{Format: Format, Identity: identity}
	file.Checksum = file.checksum()
	data, err := json.Marshal(file)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if err := s.replaceFile(identityName, append(data, '\n')); err != nil {
		return 0, trace.Wrap(err, "writing %s", s.path(identityName))
	}
	return identity, nil
}

// checkUnused returns an error when a folder without an identity holds records or snapshots.
func (s *Store) checkUnused(names *listing) error {
	if len(names.snapshots) > 0 || len(names.segments) > 1 {
		return trace.NotFound("%s: missing, but the folder holds a log", s.path(identityName))
	}
	for _, sequence := range names.segments {
		data, err := s.fs.ReadFile(s.path(segmentName(sequence)))
		if err != nil {
			return trace.Wrap(err)
		}
		if sequence != s.sequence || len(data) > fileHeaderBytes {
			return trace.NotFound("%s: missing, but the folder holds a log", s.path(identityName))
		}
	}
	return nil
}

// identityBits is the length of a random identity. Each consensus message names two, and 42 bits take 6 bytes there
// rather than 10. Among 20,000 identities a year, the chance that any two are equal is one in 20,000.
const identityBits = 42

// RandomIdentity returns a random replica identity. 0 stands for no replica and is never returned.
func RandomIdentity() (uint64, error) {
	var data [8]byte
	for {
		if _, err := rand.Read(data[:]); err != nil {
			return 0, trace.ConvertSystemError(err)
		}
		if identity := binary.LittleEndian.Uint64(data[:]) >> (64 - identityBits); identity != 0 {
			return identity, nil
		}
	}
}

func (s *Store) readIdentity() (uint64, error) {
	name := s.path(identityName)
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return 0, trace.Wrap(err, "reading %s", name)
	}
	var file identityFile
	if err := json.Unmarshal(data, &file); err != nil {
		return 0, trace.BadParameter("%s: %v", name, err)
	}
	if file.Format > Format {
		return 0, trace.Wrap(newerFormat(file.Format), "%s", name)
	}
	if file.Checksum != file.checksum() || file.Identity == 0 {
		return 0, trace.BadParameter("%s: checksum differs, damaged", name)
	}
	return file.Identity, nil
}

// readSnapshot returns the newest snapshot. It was renamed only once it was durable, so damage is an error.
func (s *Store) readSnapshot(names *listing) (*controlpb.Snapshot, error) {
	if len(names.snapshots) == 0 {
		return nil, nil
	}
	index := names.snapshots[len(names.snapshots)-1]
	name := s.path(snapshotName(index))
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", name)
	}
	snapshot, err := decodeSnapshot(data)
	if err != nil {
		return nil, trace.Wrap(err, "%s", name)
	}
	if snapshot.GetIndex() != index {
		return nil, trace.BadParameter("%s: holds index %d", name, snapshot.GetIndex())
	}
	s.snapshotIndex, s.hasSnapshot = index, true
	return snapshot, nil
}

// resume makes the log on disk agree with what was recovered and begins a new segment, which proves that all older
// segments are whole.
func (s *Store) resume(reader *logReader, recovered *Recovered) error {
	recovered.HardState = s.hardState
	entries, void, err := reader.finish()
	if err != nil {
		return trace.Wrap(err)
	}
	recovered.Entries = entries
	if err := s.roll(); err != nil {
		return trace.Wrap(err)
	}
	if !void {
		return nil
	}
	// A crash came between the writing of a received snapshot and of the record that voids the log it replaces.
	return trace.Wrap(s.writeRecord(&record{base: s.snapshotIndex, hasBase: true}))
}

// logReader replays segments.
type logReader struct {
	store     *Store
	snapshot  *controlpb.Snapshot
	entries   []*controlpb.Entry
	base      uint64 // index before entries[0]
	truncated int64
	missing   error // entries of a missing segment, unless a later record voids them
	name      string
	offset    int64
}

// damaged names the place of damage.
func (l *logReader) damaged(err error) error {
	return trace.Wrap(err, "%s: offset %d", l.name, l.offset)
}

// readSegments reads all segments, oldest first. Only the last one may end with a torn write.
func (l *logReader) readSegments(sequences []uint64) error {
	s := l.store
	if len(sequences) == 0 {
		return trace.NotFound("%s: no log segment, but the folder has an identity", s.folder)
	}
	s.sequence = sequences[0]
	for i, sequence := range sequences {
		l.name, l.offset = s.path(segmentName(sequence)), 0
		if sequence != s.sequence {
			return trace.NotFound("%s: missing, the next segment is %s", s.path(segmentName(s.sequence)), l.name)
		}
		if err := l.readSegment(sequence, i == len(sequences)-1); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (l *logReader) readSegment(sequence uint64, last bool) error {
	s := l.store
	data, err := s.fs.ReadFile(l.name)
	if err != nil {
		return trace.Wrap(err, "reading %s", l.name)
	}
	first, err := readFileHeader(data, segmentMagic)
	if errors.Is(err, errDamaged) && last && !hasRecordAfter(data, sequence) {
		// The segment's creation was interrupted. The segment that resume begins takes the same name.
		l.truncated += int64(len(data))
		return nil
	}
	if err != nil {
		return l.damaged(err)
	}
	if first != sequence {
		return l.damaged(trace.BadParameter("header names sequence number %d", first))
	}
	s.segments = append(s.segments, segment{name: l.name, size: int64(len(data))})
	l.offset = fileHeaderBytes
	for l.offset < int64(len(data)) {
		payload, number, err := readRecord(data[l.offset:])
		if err != nil {
			return l.truncate(data[l.offset:], last)
		}
		if number != s.sequence {
			return l.damaged(trace.BadParameter("sequence number %d where %d was expected", number, s.sequence))
		}
		if err := l.replay(payload); err != nil {
			return l.damaged(err)
		}
		s.sequence++
		l.offset += recordHeaderBytes + int64(len(payload))
	}
	return nil
}

// truncate cuts off a torn write, or returns an error when a later record proves that the damaged one was synced.
func (l *logReader) truncate(rest []byte, last bool) error {
	if !last || hasRecordAfter(rest, l.store.sequence+1) {
		return l.damaged(errDamaged)
	}
	if err := l.store.fs.Truncate(l.name, l.offset); err != nil {
		return trace.Wrap(err, "truncating %s", l.name)
	}
	l.truncated += int64(len(rest))
	l.store.segments[len(l.store.segments)-1].size = l.offset
	return nil
}

// hasRecordAfter reports whether a valid record with at least the given sequence number starts anywhere in data.
func hasRecordAfter(data []byte, sequence uint64) bool {
	for offset := 0; offset+recordHeaderBytes <= len(data); offset++ {
		number := binary.LittleEndian.Uint64(data[offset+4:])
		if number < sequence || number-sequence > uint64(len(data)/recordHeaderBytes) {
			continue
		}
		if _, _, err := readRecord(data[offset:]); err == nil {
			return true
		}
	}
	return false
}

// replay applies one record to the log in memory.
func (l *logReader) replay(payload []byte) error {
	r, err := decodeRecord(payload)
	if err != nil {
		return trace.Wrap(err)
	}
	if last := l.base + uint64(len(l.entries)); r.hasLast && r.last != last && r.last > l.snapshot.GetIndex() {
		err := trace.NotFound("the log ends at index %d, but a segment before this one ended at %d", last, r.last)
		l.missing = l.damaged(err)
	}
	if r.hasBase {
		l.entries, l.base = nil, r.base
		l.missing = nil // the segments before held only void entries
	}
	for _, entry := range r.entries {
		if err := l.add(entry); err != nil {
			return trace.Wrap(err)
		}
	}
	l.store.note(r)
	return nil
}

// add appends an entry, or replaces the log from its index on.
func (l *logReader) add(entry *controlpb.Entry) error {
	index, covered := entry.GetIndex(), l.snapshot.GetIndex()
	next := l.base + uint64(len(l.entries)) + 1
	if index == 0 {
		return trace.BadParameter("entry without an index")
	}
	switch {
	case index == next:
	case index > next && index <= covered+1:
		// Entries up to here were deleted with their segments, or never received, because the snapshot covers them.
		l.entries, l.base = nil, index-1
	case index > next:
		l.missing = l.damaged(trace.NotFound("entry %d where %d was expected", index, next))
		l.entries, l.base = nil, index-1
	case index <= l.base:
		l.entries, l.base = nil, index-1
	default:
		l.entries = l.entries[:index-l.base-1]
	}
	l.entries = append(l.entries, entry)
	return nil
}

// finish returns the entries after the snapshot. void tells that the log on disk contradicts the snapshot.
func (l *logReader) finish() (entries []*controlpb.Entry, void bool, err error) {
	if l.missing != nil {
		return nil, false, l.missing
	}
	index := l.snapshot.GetIndex()
	if index < l.base {
		return nil, false, trace.NotFound("%s: the log starts after index %d, the snapshot ends at %d",
			l.store.folder, l.base, index)
	}
	if index == l.base {
		return l.entries, false, nil
	}
	if index-l.base > uint64(len(l.entries)) {
		return nil, true, nil
	}
	if l.entries[index-l.base-1].GetTerm() != l.snapshot.GetTerm() {
		return nil, true, nil
	}
	return l.entries[index-l.base:], false, nil
}

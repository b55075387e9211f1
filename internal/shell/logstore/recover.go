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

// folderFiles holds the files in the folder, by kind.
type folderFiles struct {
	identity  bool
	discard   bool     // the removal of all files was interrupted
	segments  []uint64 // sequence numbers of the first records, sorted
	snapshots []uint64 // log indexes, sorted
}

// recover reads the folder and prepares the store for Save.
func (s *Store) recover(newIdentity func() (uint64, error)) (*Recovered, error) {
	files, err := s.list()
	if err == nil && files.discard {
		if err := s.finishDiscard(); err != nil {
			return nil, trace.Wrap(err)
		}
		files, err = s.list()
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	recovered := &Recovered{}
	if !files.identity {
		if recovered.Identity, err = s.initialise(files, newIdentity); err != nil {
			return nil, trace.Wrap(err)
		}
		return recovered, nil
	}
	if recovered.Identity, err = s.readIdentity(); err != nil {
		return nil, trace.Wrap(err)
	}
	if recovered.Snapshot, err = s.readSnapshot(files); err != nil {
		return nil, trace.Wrap(err)
	}
	reader := &logReader{store: s, snapshot: recovered.Snapshot}
	if err := reader.readSegments(files.segments); err != nil {
		return nil, trace.Wrap(err)
	}
	recovered.Truncated = reader.truncated
	if err := s.syncRecovered(files); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := s.finishRecovery(reader, recovered); err != nil {
		return nil, trace.Wrap(err)
	}
	return recovered, nil
}

// syncRecovered makes all recovered files durable. A process that was killed may have left unsynced writes and file
// names, and the replica relies on everything that was read from now on.
func (s *Store) syncRecovered(files *folderFiles) error {
	paths := []string{s.path(identityName)}
	for _, index := range files.snapshots {
		paths = append(paths, s.path(snapshotName(index)))
	}
	for _, segment := range s.segments {
		paths = append(paths, segment.path)
	}
	for _, path := range paths {
		if err := s.fs.Sync(path); err != nil {
			return trace.Wrap(err, "syncing %s", path)
		}
	}
	return trace.Wrap(s.fs.SyncDir(s.folder), "syncing %s", s.folder)
}

// list returns the files in the folder by kind and removes the temporary files of interrupted writes.
func (s *Store) list() (*folderFiles, error) {
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", s.folder)
	}
	files := &folderFiles{}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.fs.Remove(s.path(name)); err != nil {
				return nil, trace.Wrap(err, "removing %s", s.path(name))
			}
			continue
		}
		files.identity = files.identity || name == identityName
		files.discard = files.discard || name == discardName
		if sequence, ok := parseName(name, segmentPrefix); ok {
			files.segments = append(files.segments, sequence)
		}
		if index, ok := parseName(name, snapshotPrefix); ok {
			files.snapshots = append(files.snapshots, index)
		}
	}
	return files, nil
}

// initialise sets up an empty folder and returns the new replica identity. The identity file is written last: a folder
// without it may only contain the empty first segment of an interrupted initialisation.
func (s *Store) initialise(files *folderFiles, newIdentity func() (uint64, error)) (uint64, error) {
	if err := s.checkUnused(files); err != nil {
		return 0, trace.Wrap(err)
	}
	if newIdentity == nil {
		newIdentity = RandomIdentity
	}
	identity, err := newIdentity()
	if err != nil {
		return 0, trace.Wrap(err, "generating a replica identity")
	}
	if err := s.fs.SyncDir(filepath.Dir(s.folder)); err != nil {
		return 0, trace.Wrap(err, "syncing %s", filepath.Dir(s.folder))
	}
	if err := s.startSegment(); err != nil {
		return 0, trace.Wrap(err)
	}
	file := identityFile{Format: Format, Identity: identity}
	file.Checksum = file.checksum()
	data, err := json.Marshal(file)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if err := s.writeFileAtomically(identityName, append(data, '\n')); err != nil {
		return 0, trace.Wrap(err, "writing %s", s.path(identityName))
	}
	return identity, nil
}

// checkUnused returns an error if a folder without an identity contains records or snapshots.
func (s *Store) checkUnused(files *folderFiles) error {
	if len(files.snapshots) > 0 || len(files.segments) > 1 {
		return trace.NotFound("%s: missing, but the folder holds a log", s.path(identityName))
	}
	for _, sequence := range files.segments {
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

// identityBits is the length of a random identity. Each consensus message carries two of them as varints, which take
// 6 bytes for 42 bits rather than 10 for 64. With 20,000 identities a year, the probability of a collision is one in
// 20,000.
const identityBits = 42

// RandomIdentity returns a random replica identity. It never returns 0, which means no replica.
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
	path := s.path(identityName)
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return 0, trace.Wrap(err, "reading %s", path)
	}
	var file identityFile
	if err := json.Unmarshal(data, &file); err != nil {
		return 0, trace.BadParameter("%s: %v", path, err)
	}
	if file.Format > Format {
		return 0, trace.Wrap(newerFormatError(file.Format), "%s", path)
	}
	if file.Checksum != file.checksum() || file.Identity == 0 {
		return 0, trace.BadParameter("%s: damaged, checksum mismatch", path)
	}
	return file.Identity, nil
}

// readSnapshot returns the newest snapshot, or nil if there is none. Snapshot files get their names only when their
// contents are durable, so a damaged one is an error and not a torn write.
func (s *Store) readSnapshot(files *folderFiles) (*controlpb.Snapshot, error) {
	if len(files.snapshots) == 0 {
		return nil, nil
	}
	index := files.snapshots[len(files.snapshots)-1]
	path := s.path(snapshotName(index))
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", path)
	}
	snapshot, err := decodeSnapshot(data)
	if err != nil {
		return nil, trace.Wrap(err, "%s", path)
	}
	if snapshot.GetIndex() != index {
		return nil, trace.BadParameter("%s: contents have index %d", path, snapshot.GetIndex())
	}
	s.snapshotIndex, s.hasSnapshot = index, true
	return snapshot, nil
}

// finishRecovery fills in the recovered hard state and entries, and starts a new segment, which proves that all older
// segments are complete. If the log on disk conflicts with the snapshot, it writes a record that discards the log.
func (s *Store) finishRecovery(reader *logReader, recovered *Recovered) error {
	recovered.HardState = s.hardState
	entries, discard, err := reader.entriesAfterSnapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	recovered.Entries = entries
	if err := s.startSegment(); err != nil {
		return trace.Wrap(err)
	}
	if !discard {
		return nil
	}
	// The process crashed after writing a received snapshot, but before writing the record that discards the log.
	return trace.Wrap(s.writeRecord(&record{baseIndex: s.snapshotIndex, hasBaseIndex: true}))
}

// logReader replays the records of all segments.
type logReader struct {
	store     *Store
	snapshot  *controlpb.Snapshot
	entries   []*controlpb.Entry
	baseIndex uint64 // index before entries[0]
	truncated int64  // bytes of a torn write that were removed
	gap       error  // gap in the log because of a missing segment; nil again if a later record discards the entries
	path      string // of the segment being read
	offset    int64  // of the record being read
}

// wrapOffset adds the file and the offset to an error.
func (l *logReader) wrapOffset(err error) error {
	return trace.Wrap(err, "%s: offset %d", l.path, l.offset)
}

// readSegments reads all segments, oldest first. Only the last one may end in a torn write.
func (l *logReader) readSegments(sequences []uint64) error {
	s := l.store
	if len(sequences) == 0 {
		return trace.NotFound("%s: no log segment, but the folder has an identity", s.folder)
	}
	s.sequence = sequences[0]
	for i, sequence := range sequences {
		l.path, l.offset = s.path(segmentName(sequence)), 0
		if sequence != s.sequence {
			return trace.NotFound("%s: missing, the next segment is %s", s.path(segmentName(s.sequence)), l.path)
		}
		if err := l.readSegment(sequence, i == len(sequences)-1); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (l *logReader) readSegment(sequence uint64, isLast bool) error {
	s := l.store
	data, err := s.fs.ReadFile(l.path)
	if err != nil {
		return trace.Wrap(err, "reading %s", l.path)
	}
	first, err := readFileHeader(data, segmentMagic)
	if errors.Is(err, errDamaged) && isLast && !hasRecordAfter(data, sequence) {
		// Creation of the segment was interrupted. The segment that finishRecovery starts gets the same name.
		l.truncated += int64(len(data))
		return nil
	}
	if err != nil {
		return l.wrapOffset(err)
	}
	if first != sequence {
		return l.wrapOffset(trace.BadParameter("header has sequence number %d", first))
	}
	s.segments = append(s.segments, segment{path: l.path, size: int64(len(data))})
	l.offset = fileHeaderBytes
	for l.offset < int64(len(data)) {
		payload, number, err := readRecord(data[l.offset:])
		if err != nil {
			return l.truncate(data[l.offset:], isLast)
		}
		if number != s.sequence {
			return l.wrapOffset(trace.BadParameter("record has sequence number %d, expected %d", number, s.sequence))
		}
		if err := l.replay(payload); err != nil {
			return l.wrapOffset(err)
		}
		s.sequence++
		l.offset += recordHeaderBytes + int64(len(payload))
	}
	return nil
}

// truncate removes a torn write from the end of the last segment. If a later record proves that the damaged one was
// synced, it returns an error instead.
func (l *logReader) truncate(rest []byte, isLast bool) error {
	if !isLast || hasRecordAfter(rest, l.store.sequence+1) {
		return l.wrapOffset(errDamaged)
	}
	if err := l.store.fs.Truncate(l.path, l.offset); err != nil {
		return trace.Wrap(err, "truncating %s", l.path)
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

// replay applies one record to the recovered log.
func (l *logReader) replay(payload []byte) error {
	r, err := decodeRecord(payload)
	if err != nil {
		return trace.Wrap(err)
	}
	if lastIndex := l.baseIndex + uint64(len(l.entries)); r.hasLastIndex && r.lastIndex != lastIndex && r.lastIndex > l.snapshot.GetIndex() {
		err := trace.NotFound("the log ends at index %d, but a segment before this one ended at %d", lastIndex, r.lastIndex)
		l.gap = l.wrapOffset(err)
	}
	if r.hasBaseIndex {
		l.entries, l.baseIndex = nil, r.baseIndex
		l.gap = nil // all earlier entries are discarded
	}
	for _, entry := range r.entries {
		if err := l.add(entry); err != nil {
			return trace.Wrap(err)
		}
	}
	l.store.updateInMemory(r)
	return nil
}

// add appends an entry. If its index is in the log already, it replaces that entry and all later ones.
func (l *logReader) add(entry *controlpb.Entry) error {
	index, snapshotIndex := entry.GetIndex(), l.snapshot.GetIndex()
	next := l.baseIndex + uint64(len(l.entries)) + 1
	if index == 0 {
		return trace.BadParameter("entry without an index")
	}
	switch {
	case index == next:
	case index > next && index <= snapshotIndex+1:
		// The snapshot covers the entries before this one; they were deleted with their segments or never received.
		l.entries, l.baseIndex = nil, index-1
	case index > next:
		l.gap = l.wrapOffset(trace.NotFound("entry has index %d, expected %d", index, next))
		l.entries, l.baseIndex = nil, index-1
	case index <= l.baseIndex:
		l.entries, l.baseIndex = nil, index-1
	default:
		l.entries = l.entries[:index-l.baseIndex-1]
	}
	l.entries = append(l.entries, entry)
	return nil
}

// entriesAfterSnapshot returns the entries after the snapshot. discard is true if the log on disk conflicts with the
// snapshot and must be discarded.
func (l *logReader) entriesAfterSnapshot() (entries []*controlpb.Entry, discard bool, err error) {
	if l.gap != nil {
		return nil, false, l.gap
	}
	index := l.snapshot.GetIndex()
	if index < l.baseIndex {
		return nil, false, trace.NotFound("%s: the log starts after index %d, the snapshot ends at %d",
			l.store.folder, l.baseIndex, index)
	}
	if index == l.baseIndex {
		return l.entries, false, nil
	}
	if index-l.baseIndex > uint64(len(l.entries)) {
		return nil, true, nil
	}
	if l.entries[index-l.baseIndex-1].GetTerm() != l.snapshot.GetTerm() {
		return nil, true, nil
	}
	return l.entries[index-l.baseIndex:], false, nil
}

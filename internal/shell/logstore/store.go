// Package logstore keeps a replica's log, hard state and snapshots in one folder.
//
// A folder holds four kinds of file:
//
//	lock                    locked exclusively while a Store is open
//	identity                JSON: format version and replica identity, written once on an empty folder
//	log-<sequence>          a segment: records in order of writing, named after its first record
//	snapshot-<index>        one snapshot of the state up to a log index
//
// A record is what one Save wrote, and each Save ends with a sync. Its header holds a length, a sequence number that
// rises by one with each record, and an xxhash64 checksum of both and the payload. A later record therefore proves
// that all records before it were synced. Damage that no valid record follows is a torn write and is truncated; any
// other damage is an error. The payload is encoded in the protobuf wire format.
//
// Files are written through FS rather than renameio, because tests inject faults into every single write and sync.
package logstore

import (
	"fmt"
	"io"
	"path/filepath"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Format is the newest version of the files that this package reads, and the one it writes.
const Format = 1

// DefaultSegmentBytes is the size above which a new segment is begun.
const DefaultSegmentBytes = 16 << 20

// Options adjust a Store. The zero value is usable.
type Options struct {
	FS           FS                     // nil for the operating system's files
	SegmentBytes int64                  // 0 for DefaultSegmentBytes
	NewIdentity  func() (uint64, error) // chooses the replica identity on an empty folder; nil for a random one
}

// Recovered is what Open found in the folder.
type Recovered struct {
	Identity  uint64
	HardState *controlpb.HardState // nil when none was saved
	Snapshot  *controlpb.Snapshot  // nil when there is none
	Entries   []*controlpb.Entry   // contiguous, from the snapshot's index + 1
	Truncated int64                // bytes of a torn write that were cut off
}

// IsUsed reports whether the folder's replica has taken part in a cluster.
func (r *Recovered) IsUsed() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Batch is what one Save makes durable. Unset fields are left as they are.
type Batch struct {
	HardState *controlpb.HardState
	Snapshot  *controlpb.Snapshot // received from the leader
	Entries   []*controlpb.Entry  // contiguous; replaces entries of the same and higher indexes
}

// Store is an open folder. Save and Compact may be called concurrently. The first failure to write or sync is kept and
// returned by every later call, because what is on disk is unknown from then on.
type Store struct {
	folder       string
	fs           FS
	segmentBytes int64
	lock         io.Closer

	// snapshotting is held while a snapshot is written, so that Save isn't delayed by Compact's disk writes. It is
	// taken before mutex.
	snapshotting sync.Mutex

	mutex         sync.Mutex
	failed        error
	sequence      uint64 // of the next record
	active        File
	segments      []segment // oldest first; the last one is active
	hardState     *controlpb.HardState
	terms         termIndex
	hasSnapshot   bool   // a bootstrap writes a snapshot with index 0
	snapshotIndex uint64 // 0 for none
	buffer        []byte
}

// segment is one file of records.
type segment struct {
	name     string
	size     int64
	maxIndex uint64 // highest log index in it that isn't void; 0 for none
}

// Open locks a folder, creates it when missing, and reads what it holds. Errors name the file and, for damage, the
// offset in bytes.
func Open(folder string, options Options) (*Store, *Recovered, error) {
	s := &Store{folder: folder, fs: options.FS, segmentBytes: options.SegmentBytes, sequence: 1}
	if s.fs == nil {
		s.fs = osFS{}
	}
	if s.segmentBytes == 0 {
		s.segmentBytes = DefaultSegmentBytes
	}
	if err := s.fs.MkdirAll(folder); err != nil {
		return nil, nil, trace.Wrap(err, "creating %s", folder)
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if err != nil {
		return nil, nil, trace.Wrap(err, "locking %s", s.path(lockName))
	}
	s.lock = lock
	recovered, err := s.recover(options.NewIdentity)
	if err != nil {
		s.Close()
		return nil, nil, trace.Wrap(err)
	}
	return s, recovered, nil
}

// Save makes a batch durable with one sync of the log.
//
// A received snapshot whose last entry isn't in the log voids the log. One that isn't newer than the last one is
// ignored. Term and vote are made durable before the snapshot, and the snapshot before the rest, so that a crash
// between them leaves no snapshot of a later term than the hard state's.
func (s *Store) Save(batch Batch) error {
	if batch.Snapshot == nil {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return trace.Wrap(s.appendRecord(&record{hardState: batch.HardState, entries: batch.Entries}))
	}
	s.snapshotting.Lock()
	defer s.snapshotting.Unlock()
	if err := s.saveTerm(batch.HardState); err != nil {
		return trace.Wrap(err)
	}
	newer, err := s.writeSnapshot(batch.Snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := &record{hardState: batch.HardState, entries: batch.Entries}
	if newer && !s.terms.matches(batch.Snapshot.GetIndex(), batch.Snapshot.GetTerm()) {
		r.base, r.hasBase = batch.Snapshot.GetIndex(), true
	}
	if err := s.appendRecord(r); err != nil {
		return trace.Wrap(err)
	}
	if !newer {
		return nil
	}
	return trace.Wrap(s.dropCovered(batch.Snapshot.GetIndex()))
}

// saveTerm makes term and vote durable ahead of a snapshot. The commit index waits, because it may lie beyond the log.
func (s *Store) saveTerm(hardState *controlpb.HardState) error {
	if hardState == nil {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	early := proto.CloneOf(hardState)
	early.Commit = s.hardState.GetCommit()
	return trace.Wrap(s.appendRecord(&record{hardState: early}))
}

// Compact makes a snapshot of applied state durable, and then deletes segments and snapshots that it covers.
func (s *Store) Compact(snapshot *controlpb.Snapshot) error {
	s.snapshotting.Lock()
	defer s.snapshotting.Unlock()
	if _, err := s.writeSnapshot(snapshot); err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return trace.Wrap(s.dropCovered(snapshot.GetIndex()))
}

// Err returns the failure that stopped the store, or nil.
func (s *Store) Err() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failed
}

// Close releases the folder. It doesn't sync, because every Save did.
func (s *Store) Close() error {
	s.snapshotting.Lock()
	defer s.snapshotting.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed == nil {
		s.failed = trace.ConnectionProblem(nil, "%s is closed", s.folder)
	}
	var errors []error
	if s.active != nil {
		errors = append(errors, s.active.Close())
		s.active = nil
	}
	if s.lock != nil {
		errors = append(errors, s.lock.Close())
		s.lock = nil
	}
	return trace.NewAggregate(errors...)
}

// fail keeps the first failure of a step on a file. Callers hold mutex.
func (s *Store) fail(err error, step, name string) error {
	if s.failed == nil {
		s.failed = trace.Wrap(err, "%s %s", step, name)
	}
	return s.failed
}

// appendRecord writes and syncs one record, in a new segment when the active one is full.
func (s *Store) appendRecord(r *record) error {
	if s.failed != nil {
		return s.failed
	}
	if r.hardState == nil && len(r.entries) == 0 && !r.hasBase {
		return nil
	}
	if last := max(s.terms.last, s.snapshotIndex); len(r.entries) > 0 && r.entries[0].GetIndex() > last+1 {
		return trace.BadParameter("entry %d would leave a gap after %d", r.entries[0].GetIndex(), last)
	}
	if s.segments[len(s.segments)-1].size >= s.segmentBytes {
		if err := s.roll(); err != nil {
			return err
		}
	}
	return s.writeRecord(r)
}

// writeRecord appends to the active segment.
func (s *Store) writeRecord(r *record) error {
	active := &s.segments[len(s.segments)-1]
	buffer, err := appendRecord(s.buffer[:0], s.sequence, r)
	if err != nil {
		return s.fail(err, "encoding a record for", active.name)
	}
	s.buffer = buffer
	if _, err := s.active.Write(buffer); err != nil {
		return s.fail(err, "writing", active.name)
	}
	if err := s.active.Sync(); err != nil {
		return s.fail(err, "syncing", active.name)
	}
	s.sequence++
	active.size += int64(len(buffer))
	s.note(r)
	return nil
}

// note updates what is kept in memory about the log.
func (s *Store) note(r *record) {
	if r.hasBase {
		s.terms.reset(r.base)
		for i := range s.segments {
			s.segments[i].maxIndex = 0
		}
	}
	if r.hardState != nil {
		s.hardState = proto.CloneOf(r.hardState)
	}
	active := &s.segments[len(s.segments)-1]
	for _, entry := range r.entries {
		s.terms.add(entry.GetIndex(), entry.GetTerm())
		active.maxIndex = max(active.maxIndex, entry.GetIndex())
	}
}

// roll begins a new segment. It starts with the hard state, so that older segments can be deleted, and with the last
// log index, so that a missing segment is noticed.
func (s *Store) roll() error {
	name := segmentName(s.sequence)
	file, err := s.createSegment(name)
	if err != nil {
		return s.fail(err, "creating", s.path(name))
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			file.Close()
			return s.fail(err, "closing", s.segments[len(s.segments)-1].name)
		}
	}
	s.active = file
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].name == s.path(name) {
		s.segments = s.segments[:last] // it held no record and was created anew
	}
	s.segments = append(s.segments, segment{name: s.path(name), size: fileHeaderBytes})
	if s.hardState == nil && s.terms.last == 0 {
		return nil
	}
	return s.writeRecord(&record{hardState: s.hardState, last: s.terms.last, hasLast: true})
}

// createSegment makes an empty segment durable under its name.
func (s *Store) createSegment(name string) (File, error) {
	file, err := s.fs.Create(s.path(name))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err = file.Write(fileHeader(segmentMagic, s.sequence)); err == nil {
		if err = file.Sync(); err == nil {
			err = s.fs.SyncDir(s.folder)
		}
	}
	if err != nil {
		file.Close()
		return nil, trace.Wrap(err)
	}
	return file, nil
}

// writeSnapshot makes a snapshot file durable, unless an equal or newer one is. Callers hold snapshotting.
func (s *Store) writeSnapshot(snapshot *controlpb.Snapshot) (newer bool, err error) {
	s.mutex.Lock()
	failed, old := s.failed, s.hasSnapshot && snapshot.GetIndex() <= s.snapshotIndex
	s.mutex.Unlock()
	if failed != nil || old {
		return false, failed
	}
	name := snapshotName(snapshot.GetIndex())
	data, err := encodeSnapshot(snapshot)
	if err == nil {
		err = s.replaceFile(name, data)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		return false, s.fail(err, "writing", s.path(name))
	}
	s.snapshotIndex, s.hasSnapshot = snapshot.GetIndex(), true
	return true, nil
}

// replaceFile makes a whole file durable under its name, or leaves an older one in place.
func (s *Store) replaceFile(name string, data []byte) error {
	temporary := s.path(name + temporarySuffix)
	file, err := s.fs.Create(temporary)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fs.Rename(temporary, s.path(name)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.fs.SyncDir(s.folder))
}

// dropCovered deletes the segments and snapshots that the durable snapshot at index makes unnecessary. Segments go
// oldest first, so that a crash leaves no gap. Callers hold mutex.
func (s *Store) dropCovered(index uint64) error {
	if s.failed != nil {
		return s.failed
	}
	if s.segments[len(s.segments)-1].size > fileHeaderBytes {
		if err := s.roll(); err != nil {
			return err
		}
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex <= index {
		if err := s.fs.Remove(s.segments[0].name); err != nil {
			return s.fail(err, "removing", s.segments[0].name)
		}
		// Without this sync, a crash could bring back this segment but not the next one.
		if err := s.fs.SyncDir(s.folder); err != nil {
			return s.fail(err, "syncing", s.folder)
		}
		s.segments = s.segments[1:]
	}
	s.terms.dropTo(index)
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return s.fail(err, "reading", s.folder)
	}
	for _, name := range names {
		old, ok := parseName(name, snapshotPrefix)
		if !ok || old >= s.snapshotIndex {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return s.fail(err, "removing", s.path(name))
		}
	}
	return nil
}

func (s *Store) path(name string) string {
	return filepath.Join(s.folder, name)
}

const (
	lockName        = "lock"
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// segmentName sorts in the order of sequence numbers.
func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, sequence)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

// parseName returns the number in a segment's or snapshot's name.
func parseName(name, prefix string) (uint64, bool) {
	var number uint64
	if len(name) != len(prefix)+16 || name[:len(prefix)] != prefix {
		return 0, false
	}
	if _, err := fmt.Sscanf(name[len(prefix):], "%016x", &number); err != nil {
		return 0, false
	}
	return number, true
}

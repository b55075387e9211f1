// Package logstore is the durable storage of a replica's Raft log, hard state and snapshots in one folder.
//
// The folder contains these files:
//
//	lock                    locked exclusively while a Store is open
//	identity                JSON: format version and replica identity, written once on an empty folder
//	log-<sequence>          a segment of the log: records in the order of writing, named after its first record
//	snapshot-<index>        a snapshot of the state up to a log index
//	discard                 empty; marks a folder whose contents are being removed
//
// Each Save writes its batch as one record and syncs it; a batch with a snapshot takes one more record for the term
// and vote. A record's header holds the payload length, a sequence number that increases by one with each record, and
// an xxhash64 checksum of both and the payload. A record therefore proves that all records before it were synced.
// Damage that no valid record follows is a torn write and is truncated; any other damage is an error. The payload is
// encoded in the protobuf wire format.
//
// Files are written through FS rather than renameio, so that tests can inject a fault into each write and sync.
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

// Format is the format version of the files that this package writes, and the newest one that it reads.
const Format = 1

// DefaultSegmentBytes is the default size from which a segment is full and a new one is started.
const DefaultSegmentBytes = 16 << 20

// Options configure a Store. The zero value is usable.
type Options struct {
	FS           FS                     // nil for the operating system's files
	SegmentBytes int64                  // 0 for DefaultSegmentBytes
	NewIdentity  func() (uint64, error) // generates the replica identity for an empty folder; nil for RandomIdentity
}

// Recovered is what Open found in the folder.
type Recovered struct {
	Identity  uint64
	HardState *controlpb.HardState // nil when none was saved
	Snapshot  *controlpb.Snapshot  // nil when there is none
	Entries   []*controlpb.Entry   // contiguous, from the snapshot's index + 1
	Truncated int64                // bytes of a torn write that were removed
}

// IsUsed reports whether the folder's replica has been part of a cluster.
func (r *Recovered) IsUsed() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Batch is the data that one Save makes durable. Unset fields leave the stored data unchanged.
type Batch struct {
	HardState *controlpb.HardState
	Snapshot  *controlpb.Snapshot // received from the leader
	Entries   []*controlpb.Entry  // contiguous; they replace all stored entries from the first one's index on
}

// Store is an open folder. Save and Compact may be called concurrently. The first failed write or sync is returned by
// every later call, because the contents of the disk are unknown from then on.
type Store struct {
	folder       string
	fs           FS
	segmentBytes int64
	lock         io.Closer

	// snapshotMutex serializes the writing of snapshots. It is separate from mutex, so that Compact's disk writes don't
	// delay Save. Lock order: snapshotMutex, then mutex.
	snapshotMutex sync.Mutex

	mutex         sync.Mutex
	failure       error
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
	path     string
	size     int64
	maxIndex uint64 // highest log index in it that isn't discarded; 0 for none
}

// Open locks a folder, creating it if it is missing, and reads its contents. Errors contain the path of the file and,
// for damage to a segment, the offset in bytes.
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

// Save makes a batch durable. A batch without a snapshot takes one sync of the log, and more if it starts a new segment.
//
// If the last entry that a received snapshot covers isn't in the log, the log is discarded. A snapshot that isn't newer
// than the last one is ignored. Term and vote are made durable before the snapshot, and the snapshot before the rest,
// so that a crash in between never leaves a snapshot with a later term than the hard state's.
func (s *Store) Save(batch Batch) error {
	if batch.Snapshot == nil {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return trace.Wrap(s.appendRecord(&record{hardState: batch.HardState, entries: batch.Entries}))
	}
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
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
		r.baseIndex, r.hasBaseIndex = batch.Snapshot.GetIndex(), true
	}
	if err := s.appendRecord(r); err != nil {
		return trace.Wrap(err)
	}
	if !newer {
		return nil
	}
	return trace.Wrap(s.deleteCovered(batch.Snapshot.GetIndex()))
}

// saveTerm makes term and vote durable before a snapshot. It doesn't change the commit index, which may be beyond the
// end of the log until the snapshot is durable.
func (s *Store) saveTerm(hardState *controlpb.HardState) error {
	if hardState == nil {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	termAndVote := proto.CloneOf(hardState)
	termAndVote.Commit = s.hardState.GetCommit()
	return trace.Wrap(s.appendRecord(&record{hardState: termAndVote}))
}

// Compact makes a snapshot of the applied state durable, then deletes the segments and older snapshots that it covers.
func (s *Store) Compact(snapshot *controlpb.Snapshot) error {
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
	if _, err := s.writeSnapshot(snapshot); err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return trace.Wrap(s.deleteCovered(snapshot.GetIndex()))
}

// Err returns the first failure, or an error if the store is closed. It returns nil for a usable store.
func (s *Store) Err() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}

// Close closes the files and releases the lock. It doesn't sync, because every Save does.
func (s *Store) Close() error {
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failure == nil {
		s.failure = trace.ConnectionProblem(nil, "%s is closed", s.folder)
	}
	var errs []error
	if s.active != nil {
		errs = append(errs, s.active.Close())
		s.active = nil
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
		s.lock = nil
	}
	return trace.NewAggregate(errs...)
}

// fail returns the failure of the store. If there is none yet, it sets it to err, wrapped with the operation (such as
// "writing") and the name of the file. Callers hold mutex.
func (s *Store) fail(err error, operation, name string) error {
	if s.failure == nil {
		s.failure = trace.Wrap(err, "%s %s", operation, name)
	}
	return s.failure
}

// appendRecord writes and syncs one record, in a new segment if the active one is full. Callers hold mutex.
func (s *Store) appendRecord(r *record) error {
	if s.failure != nil {
		return s.failure
	}
	if r.hardState == nil && len(r.entries) == 0 && !r.hasBaseIndex {
		return nil
	}
	if lastIndex := max(s.terms.lastIndex, s.snapshotIndex); len(r.entries) > 0 && r.entries[0].GetIndex() > lastIndex+1 {
		return trace.BadParameter("entry %d would leave a gap after %d", r.entries[0].GetIndex(), lastIndex)
	}
	if s.segments[len(s.segments)-1].size >= s.segmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	return s.writeRecord(r)
}

// writeRecord appends a record to the active segment and syncs it.
func (s *Store) writeRecord(r *record) error {
	active := &s.segments[len(s.segments)-1]
	buffer, err := appendRecord(s.buffer[:0], s.sequence, r)
	if err != nil {
		return s.fail(err, "encoding a record for", active.path)
	}
	s.buffer = buffer
	if _, err := s.active.Write(buffer); err != nil {
		return s.fail(err, "writing", active.path)
	}
	if err := s.active.Sync(); err != nil {
		return s.fail(err, "syncing", active.path)
	}
	s.sequence++
	active.size += int64(len(buffer))
	s.updateInMemory(r)
	return nil
}

// updateInMemory updates the in-memory state of the log after r was written or read.
func (s *Store) updateInMemory(r *record) {
	if r.hasBaseIndex {
		s.terms.reset(r.baseIndex)
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

// startSegment starts a new segment. Its first record holds the hard state, so that older segments can be deleted, and
// the last log index, so that a missing segment is detected.
func (s *Store) startSegment() error {
	name := segmentName(s.sequence)
	file, err := s.createSegment(name)
	if err != nil {
		return s.fail(err, "creating", s.path(name))
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			file.Close()
			return s.fail(err, "closing", s.segments[len(s.segments)-1].path)
		}
	}
	s.active = file
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].path == s.path(name) {
		s.segments = s.segments[:last] // it had no record and was created again
	}
	s.segments = append(s.segments, segment{path: s.path(name), size: fileHeaderBytes})
	if s.hardState == nil && s.terms.lastIndex == 0 {
		return nil
	}
	return s.writeRecord(&record{hardState: s.hardState, lastIndex: s.terms.lastIndex, hasLastIndex: true})
}

// createSegment creates an empty segment and makes the file and its name durable.
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

// writeSnapshot makes a snapshot file durable, unless one of the same or a later index is durable already. newer reports
// whether it wrote the file. Callers hold snapshotMutex.
func (s *Store) writeSnapshot(snapshot *controlpb.Snapshot) (newer bool, err error) {
	s.mutex.Lock()
	failure, notNewer := s.failure, s.hasSnapshot && snapshot.GetIndex() <= s.snapshotIndex
	s.mutex.Unlock()
	if failure != nil || notNewer {
		return false, failure
	}
	name := snapshotName(snapshot.GetIndex())
	data, err := encodeSnapshot(snapshot)
	if err == nil {
		err = s.writeFileAtomically(name, data)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		return false, s.fail(err, "writing", s.path(name))
	}
	s.snapshotIndex, s.hasSnapshot = snapshot.GetIndex(), true
	return true, nil
}

// writeFileAtomically writes a file and makes it durable. If it fails before the rename, an older file of that name
// stays in place.
func (s *Store) writeFileAtomically(name string, data []byte) error {
	temporary := s.path(name + temporarySuffix)
	file, err := s.fs.Create(temporary)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fs.Rename(temporary, s.path(name)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.fs.SyncDir(s.folder))
}

// deleteCovered deletes the segments that the durable snapshot at index covers, and all older snapshots. It deletes the
// oldest segment first, so that a crash leaves no gap in the log. Callers hold mutex.
func (s *Store) deleteCovered(index uint64) error {
	if s.failure != nil {
		return s.failure
	}
	if s.segments[len(s.segments)-1].size > fileHeaderBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex <= index {
		if err := s.fs.Remove(s.segments[0].path); err != nil {
			return s.fail(err, "removing", s.segments[0].path)
		}
		// Without this sync, a crash could restore this segment but not the next one.
		if err := s.fs.SyncDir(s.folder); err != nil {
			return s.fail(err, "syncing", s.folder)
		}
		s.segments = s.segments[1:]
	}
	s.terms.trimTo(index)
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
	discardName     = "discard"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// segmentName returns a segment's file name. Names sort in the order of their sequence numbers.
func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, sequence)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

// parseName returns the number in the file name of a segment or snapshot, and whether the name is valid.
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

package replica

import (
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/shell/logstore"
)

// simSegmentBytes is small, so that segments are started and deleted often.
const simSegmentBytes = 8 << 10

// simFolder is the data folder of a simulated daemon: a real logstore.Store on a file system in memory. The operations of
// a save run at once, but count as made only when the save finishes; a crash in between keeps a random prefix of them.
type simFolder struct {
	cluster      *simCluster
	files        fileTable
	before       fileTable    // as of the start of the operations in progress
	operations   []fileChange // in progress
	inProgress   bool
	store        *logstore.Store
	err          error // of the save in progress
	full         bool  // writes are refused
	slow         time.Duration
	stalledUntil time.Time

	// Injected faults.
	ignoresSync bool // syncs have no effect
}

// simFile is a file. Only its first synced bytes survive a power loss for certain.
type simFile struct {
	data   []byte
	synced int
}

// fileTable holds the files by name: as they are, and as of the last sync of the folder.
type fileTable struct {
	names, durable map[string]*simFile
}

type changeKind int

const (
	fileCreated changeKind = iota
	fileWritten
	fileTruncated
	fileSynced
	fileRenamed
	fileRemoved
	folderSynced
)

// fileChange is one operation on a file or on the folder.
type fileChange struct {
	kind     changeKind
	name, to string
	data     []byte
	size     int64
}

func newSimFolder(c *simCluster) *simFolder {
	return &simFolder{cluster: c, files: fileTable{names: map[string]*simFile{}, durable: map[string]*simFile{}}}
}

// folderOf returns the folder of a daemon, an empty one if its disk was lost.
func (c *simCluster) folderOf(d *simDaemon) *simFolder {
	if d.folder == nil {
		d.folder = newSimFolder(c)
	}
	return d.folder
}

// openFolder opens the data folder of a daemon that starts, and restores its disk and identity from it. It returns false
// if the folder can't be opened.
func (c *simCluster) openFolder(d *simDaemon) bool {
	f := c.folderOf(d)
	isFirst := d.boots == 0
	options := logstore.Options{FS: f, SegmentBytes: simSegmentBytes, NewIdentity: func() (uint64, error) {
		if !isFirst {
			c.newIdentity(d)
		}
		return d.id, nil
	}}
	if !isFirst && c.random.IntN(5) == 0 { // a first attempt is interrupted
		f.begin()
		if store, _, err := logstore.Open("data", options); err == nil {
			store.Close()
		}
		f.crash(c.random, c.random.IntN(2) == 0)
	}
	store, recovered, err := logstore.Open("data", options)
	if err != nil {
		if !f.full {
			c.oracle.violation("%s: %s can't open its folder: %v", c.now.Sub(c.start), d.name, err)
		}
		return false
	}
	f.store, d.id = store, recovered.Identity
	d.disk = Restored{HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries}
	return true
}

// save starts to persist Outputs, as Replica does.
func (f *simFolder) save(outputs []Output) {
	f.begin()
	f.err = f.saveAll(outputs)
}

func (f *simFolder) saveAll(outputs []Output) error {
	for len(outputs) > 0 {
		if outputs[0].Snapshot.GetIndex() > 0 {
			f.cluster.installedSnapshots++
		}
		batch := logstore.Batch{Snapshot: outputs[0].Snapshot, HardState: outputs[0].HardState, Entries: outputs[0].Entries}
		count := 1
		for count < len(outputs) && outputs[count-1].Compact == nil && merge(&batch, &outputs[count]) {
			count++
		}
		last := &outputs[count-1]
		last.Encode()
		if err := f.store.Save(batch); err != nil {
			return err
		}
		if last.Compact != nil {
			f.cluster.compactions++
			if err := f.store.Compact(last.Compact); err != nil {
				return err
			}
		}
		outputs = outputs[count:]
	}
	return nil
}

// finishSave ends a save and reports whether it succeeded.
func (f *simFolder) finishSave() bool {
	f.inProgress, f.operations = false, nil
	return f.err == nil
}

// extraDelay returns how much longer a sync takes because the disk is slow or stalled.
func (f *simFolder) extraDelay(now time.Time, random *rand.Rand) time.Duration {
	delay := max(0, f.stalledUntil.Sub(now))
	if f.slow > 0 {
		delay += time.Duration(random.Int64N(int64(f.slow)))
	}
	return delay
}

func (f *simFolder) begin() {
	f.inProgress, f.before, f.operations = true, f.files.clone(), nil
}

// crash ends the process and, if power is lost, discards what isn't durable.
func (f *simFolder) crash(random *rand.Rand, powerLost bool) {
	if f.inProgress {
		f.files = f.before
		made := random.IntN(len(f.operations) + 1)
		for _, change := range f.operations[:made] {
			f.files.apply(change)
		}
		if made < len(f.operations) && f.operations[made].kind == fileWritten {
			torn := f.operations[made]
			torn.data = torn.data[:random.IntN(len(torn.data)+1)]
			f.files.apply(torn)
		}
	}
	f.inProgress, f.operations, f.store, f.err = false, nil, nil, nil
	if powerLost {
		f.files = f.files.afterPowerLoss(random)
	}
}

func (t fileTable) clone() fileTable {
	copies := map[*simFile]*simFile{}
	cloneNames := func(names map[string]*simFile) map[string]*simFile {
		cloned := maps.Clone(names)
		for name, file := range names {
			if copies[file] == nil {
				copied := *file
				copied.data = slices.Clip(file.data)
				copies[file] = &copied
			}
			cloned[name] = copies[file]
		}
		return cloned
	}
	return fileTable{names: cloneNames(t.names), durable: cloneNames(t.durable)}
}

// afterPowerLoss returns the files as they may be after a power loss: with all synced contents, a random part of the other
// contents, and each unsynced change of a name made or not.
func (t fileTable) afterPowerLoss(random *rand.Rand) fileTable {
	after := fileTable{names: map[string]*simFile{}, durable: map[string]*simFile{}}
	allLost := random.IntN(3) == 0
	all := maps.Clone(t.durable)
	maps.Copy(all, t.names)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		file, exists := t.durable[name]
		if current, ok := t.names[name]; current != file && random.IntN(2) == 0 {
			file, exists = current, ok
		}
		if !exists {
			continue
		}
		data := slices.Clone(file.data[:file.synced])
		if !allLost {
			tail := file.data[file.synced:]
			data = append(data, tail[:random.IntN(len(tail)+1)]...)
			if kept := data[file.synced:]; len(kept) > 0 && random.IntN(2) == 0 {
				hole := kept[random.IntN(len(kept)):]
				clear(hole[:1+random.IntN(len(hole))])
			}
		}
		restored := &simFile{data: data, synced: len(data)}
		after.names[name], after.durable[name] = restored, restored
	}
	return after
}

func (t fileTable) apply(change fileChange) {
	switch file := t.names[change.name]; change.kind {
	case fileCreated:
		t.names[change.name] = &simFile{}
	case fileWritten:
		file.data = append(file.data, change.data...)
	case fileTruncated:
		file.data, file.synced = slices.Clip(file.data[:change.size]), int(change.size)
	case fileSynced:
		file.synced = len(file.data)
	case fileRenamed:
		t.names[change.to] = file
		delete(t.names, change.name)
	case fileRemoved:
		delete(t.names, change.name)
	case folderSynced:
		clear(t.durable)
		maps.Copy(t.durable, t.names)
	}
}

func (f *simFolder) change(change fileChange) error {
	if f.full && (change.kind == fileCreated || change.kind == fileWritten) {
		return trace.LimitExceeded("no space left on device")
	}
	if f.ignoresSync && (change.kind == fileSynced || change.kind == folderSynced) {
		return nil
	}
	if f.inProgress {
		f.operations = append(f.operations, change)
	}
	f.files.apply(change)
	return nil
}

// MkdirAll implements logstore.FS, as do the methods below.
func (f *simFolder) MkdirAll(string) error { return nil }

func (f *simFolder) ReadDir(string) ([]string, error) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.files.names)) {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

func (f *simFolder) ReadFile(name string) ([]byte, error) {
	file, ok := f.files.names[name]
	if !ok {
		return nil, trace.NotFound("%s", name)
	}
	return slices.Clone(file.data), nil
}

func (f *simFolder) Create(name string) (logstore.File, error) {
	if err := f.change(fileChange{kind: fileCreated, name: name}); err != nil {
		return nil, err
	}
	return &simFileHandle{folder: f, name: name}, nil
}

func (f *simFolder) Truncate(name string, size int64) error {
	return f.change(fileChange{kind: fileTruncated, name: name, size: size})
}

func (f *simFolder) Sync(name string) error {
	return f.change(fileChange{kind: fileSynced, name: name})
}

func (f *simFolder) Rename(from, to string) error {
	return f.change(fileChange{kind: fileRenamed, name: from, to: to})
}

func (f *simFolder) Remove(name string) error {
	return f.change(fileChange{kind: fileRemoved, name: name})
}

func (f *simFolder) SyncDir(string) error { return f.change(fileChange{kind: folderSynced}) }

// Lock has no effect, as on the platform's disks.
func (f *simFolder) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// simFileHandle is a file that is open for writing. The store renames no open file.
type simFileHandle struct {
	folder *simFolder
	name   string
}

func (h *simFileHandle) Write(data []byte) (int, error) {
	return len(data), h.folder.change(fileChange{kind: fileWritten, name: h.name, data: slices.Clone(data)})
}

func (h *simFileHandle) Sync() error { return h.folder.Sync(h.name) }

func (h *simFileHandle) Close() error { return nil }

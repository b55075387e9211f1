package logstore

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"
)

// faultFS is an in-memory FS that tracks which contents and names are durable, and fails or crashes at a chosen unit of
// work. Each written byte is a unit, and so is each other operation that changes something.
type faultFS struct {
	files   map[string]*faultFile // volatile names
	durable map[string]*faultFile // names as of the last SyncDir
	locked  bool
	units   int  // requested so far
	limit   int  // units before the fault; negative for no fault
	crash   bool // later operations fail too
}

type faultFile struct {
	fs     *faultFS
	data   []byte
	synced int // length of the durable prefix
}

var errFault = trace.LimitExceeded("no space left on device")

func newFaultFS() *faultFS {
	return &faultFS{files: map[string]*faultFile{}, durable: map[string]*faultFile{}, limit: -1}
}

// consume requests n units and returns how many of them come before the fault, with errFault if these are fewer than n.
func (f *faultFS) consume(n int) (int, error) {
	granted := n
	if f.limit >= 0 {
		granted = max(0, min(n, f.limit-f.units))
	}
	f.units += n
	if granted == n {
		return n, nil
	}
	if !f.crash {
		f.limit = -1 // later operations succeed
	}
	return granted, errFault
}

// change runs an operation that takes one unit.
func (f *faultFS) change(do func()) error {
	if _, err := f.consume(1); err != nil {
		return err
	}
	do()
	return nil
}

// afterCrash returns the file system as it may be after a crash: with all synced contents, a random part of the unsynced
// contents of each file, and each unsynced change of a name either made or not. The part is a prefix, or a prefix with a range
// of zeros, as left by a file system that has extended the file before it wrote the contents.
func (f *faultFS) afterCrash(random *rand.Rand) *faultFS {
	crashed := newFaultFS()
	add := func(name string, file *faultFile) {
		tail := file.data[file.synced:]
		data := append(slices.Clone(file.data[:file.synced]), tail[:random.IntN(len(tail)+1)]...)
		if tail = data[file.synced:]; len(tail) > 0 && random.IntN(2) == 0 {
			hole := tail[random.IntN(len(tail)):]
			clear(hole[:1+random.IntN(len(hole))])
		}
		copied := &faultFile{fs: crashed, data: data, synced: len(data)}
		crashed.files[name], crashed.durable[name] = copied, copied
	}
	names := map[string]bool{}
	for name := range f.files {
		names[name] = true
	}
	for name := range f.durable {
		names[name] = true
	}
	for name := range names {
		file, ok := f.durable[name]
		if volatile, exists := f.files[name]; volatile != file && random.IntN(2) == 0 {
			file, ok = volatile, exists
		}
		if ok {
			add(name, file)
		}
	}
	return crashed
}

func (f *faultFS) MkdirAll(string) error { return nil }

func (f *faultFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range f.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (f *faultFS) ReadFile(name string) ([]byte, error) {
	file, ok := f.files[name]
	if !ok {
		return nil, trace.NotFound("%s", name)
	}
	return slices.Clone(file.data), nil
}

func (f *faultFS) Create(name string) (File, error) {
	file := &faultFile{fs: f}
	return file, f.change(func() { f.files[name] = file })
}

func (f *faultFS) Truncate(name string, size int64) error {
	return f.change(func() {
		file := f.files[name]
		file.data = file.data[:size]
		file.synced = int(size)
	})
}

func (f *faultFS) Sync(name string) error {
	return f.change(func() { f.files[name].synced = len(f.files[name].data) })
}

func (f *faultFS) Rename(from, to string) error {
	return f.change(func() {
		f.files[to] = f.files[from]
		delete(f.files, from)
	})
}

func (f *faultFS) Remove(name string) error {
	return f.change(func() { delete(f.files, name) })
}

func (f *faultFS) SyncDir(string) error {
	return f.change(func() {
		f.durable = map[string]*faultFile{}
		for name, file := range f.files {
			f.durable[name] = file
		}
	})
}

func (f *faultFS) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, trace.CompareFailed("locked")
	}
	f.locked = true
	return closeFunc(func() { f.locked = false }), nil
}

type closeFunc func()

func (c closeFunc) Close() error {
	c()
	return nil
}

func (f *faultFile) Write(data []byte) (int, error) {
	n, err := f.fs.consume(len(data))
	f.data = append(f.data, data[:n]...)
	return n, err
}

func (f *faultFile) Sync() error {
	return f.fs.change(func() { f.synced = len(f.data) })
}

func (f *faultFile) Close() error { return nil }

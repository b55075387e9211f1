package logstore

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// FS is the file access that a Store needs. Names are paths.
type FS interface {
	MkdirAll(folder string) error
	// ReadDir returns the names of the files in a folder, sorted.
	ReadDir(folder string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, or empties an existing one, for writing.
	Create(name string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Sync makes the contents of an existing file durable.
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed names of a folder durable.
	SyncDir(folder string) error
	// Lock locks a file exclusively until the returned Closer is closed. It fails at once when the file is locked.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes what was written durable.
	Sync() error
	Close() error
}

// osFS is the operating system's file access.
type osFS struct{}

func (osFS) MkdirAll(folder string) error {
	return trace.ConvertSystemError(os.MkdirAll(folder, 0o750))
}

func (osFS) ReadDir(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (osFS) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	return data, trace.ConvertSystemError(err)
}

func (osFS) Create(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

func (osFS) Truncate(name string, size int64) error {
	file, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(file.Sync())
}

func (osFS) Sync(name string) error {
	file, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.ConvertSystemError(file.Sync())
}

func (osFS) Rename(from, to string) error {
	return trace.ConvertSystemError(os.Rename(from, to))
}

func (osFS) Remove(name string) error {
	return trace.ConvertSystemError(os.Remove(name))
}

func (osFS) SyncDir(folder string) error {
	file, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.ConvertSystemError(file.Sync())
}

func (osFS) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, trace.CompareFailed("locked by another process: %v", err)
	}
	return file, nil
}

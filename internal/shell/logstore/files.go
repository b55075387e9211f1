package logstore

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// FS is the file system interface that a Store uses. Files and folders are identified by their paths.
type FS interface {
	MkdirAll(folder string) error
	// ReadDir returns the names of the files in a folder, sorted.
	ReadDir(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a file for writing; it creates the file or truncates an existing one.
	Create(path string) (File, error)
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(path string, size int64) error
	// Sync makes the contents of an existing file durable.
	Sync(path string) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(folder string) error
	// Lock locks a file exclusively until the returned Closer is closed. It doesn't wait: it returns an error if the
	// file is already locked.
	Lock(path string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes the written data durable.
	Sync() error
	Close() error
}

// osFS implements FS with the operating system's files.
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

func (osFS) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, trace.ConvertSystemError(err)
}

func (osFS) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

func (osFS) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(file.Sync())
}

func (osFS) Sync(path string) error {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.ConvertSystemError(file.Sync())
}

func (osFS) Rename(from, to string) error {
	return trace.ConvertSystemError(os.Rename(from, to))
}

func (osFS) Remove(path string) error {
	return trace.ConvertSystemError(os.Remove(path))
}

func (osFS) SyncDir(folder string) error {
	file, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.ConvertSystemError(file.Sync())
}

func (osFS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, trace.CompareFailed("locked by another process: %v", err)
	}
	return file, nil
}

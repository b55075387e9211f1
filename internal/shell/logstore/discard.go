package logstore

import "github.com/gravitational/trace"

// Discard removes the contents of a folder that no Store has open. Open completes a removal that was interrupted.
func Discard(folder string, options Options) error {
	s := &Store{folder: folder, fs: options.FS}
	if s.fs == nil {
		s.fs = osFS{}
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if err != nil {
		return trace.Wrap(err, "locking %s", s.path(lockName))
	}
	defer lock.Close()
	// A crash may undo any of the removals below. The marker makes the next Open repeat them.
	if err := s.writeFileAtomically(discardName, nil); err != nil {
		return trace.Wrap(err, "writing %s", s.path(discardName))
	}
	return trace.Wrap(s.finishDiscard())
}

// finishDiscard removes all files of a marked folder, and then the marker.
func (s *Store) finishDiscard() error {
	names, err := s.fs.ReadDir(s.folder)
	if err != nil {
		return trace.Wrap(err, "reading %s", s.folder)
	}
	for _, name := range names {
		if name == discardName || name == lockName {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return trace.Wrap(err, "removing %s", s.path(name))
		}
	}
	if err := s.fs.SyncDir(s.folder); err != nil {
		return trace.Wrap(err, "syncing %s", s.folder)
	}
	if err := s.fs.Remove(s.path(discardName)); err != nil {
		return trace.Wrap(err, "removing %s", s.path(discardName))
	}
	return trace.Wrap(s.fs.SyncDir(s.folder), "syncing %s", s.folder)
}

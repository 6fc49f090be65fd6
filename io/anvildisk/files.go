package anvildisk

import (
	"errors"
	"os"
	"path/filepath"

	"anvilshunt/core/anvilclock"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// File contains the operations on one open file. Tests replace them to inject failures.
type File struct {
	WriteAt  func(data []byte, offset int64) (int, error)
	Truncate func(size int64) error
	Sync     func() error
	Close    func() error
}

// Files contains all file-system calls of the package, except those on open files (File). Tests
// replace them to inject failures.
type Files struct {
	// MakeDir creates a directory, but not its parents. It succeeds if the directory exists.
	MakeDir func(dir string) error
	List    func(dir string) ([]string, error)
	// ModTime returns when the content of a file was last changed, by the wall clock.
	ModTime func(path string) (anvilclock.Millis, error)
	Read    func(path string) ([]byte, error)
	// Create creates a new file and fails if the path exists.
	Create func(path string) (*File, error)
	// Open opens an existing file for writing.
	Open    func(path string) (*File, error)
	Rename  func(from, to string) error
	Remove  func(path string) error
	SyncDir func(dir string) error
	// Lock takes an exclusive lock on a file, which it creates if needed. It returns an error
	// that wraps ErrLocked if another process holds the lock.
	Lock func(path string) (release func() error, err error)
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OSFiles returns the file-system calls of the operating system.
func OSFiles() Files {
	return Files{
		MakeDir: makeDir,
		List:    listNames,
		ModTime: modified,
		Read:    os.ReadFile,
		Create: func(path string) (*File, error) {
			return openFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL)
		},
		Open:    func(path string) (*File, error) { return openFile(path, os.O_WRONLY) },
		Rename:  os.Rename,
		Remove:  os.Remove,
		SyncDir: syncDir,
		Lock:    lockFile,
	}
}

func makeDir(dir string) error {
	err := os.Mkdir(dir, dirMode)
	if os.IsExist(err) {
		return nil
	}
	return err
}

func listNames(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir) // sorted by name
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func modified(path string) (anvilclock.Millis, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return anvilclock.Millis(info.ModTime().UnixMilli()), nil
}

func openFile(path string, flag int) (*File, error) {
	file, err := os.OpenFile(filepath.Clean(path), flag, fileMode)
	if err != nil {
		return nil, err
	}
	return &File{WriteAt: file.WriteAt, Truncate: file.Truncate, Sync: file.Sync, Close: file.Close}, nil
}

func syncDir(dir string) error {
	file, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // the failed sync is the error to report
		return err
	}
	return file.Close()
}

// lockFile uses flock because the kernel releases such a lock when the process dies, so no
// stale lock has to be removed.
func lockFile(path string) (func() error, error) {
	file, err := os.OpenFile(filepath.Clean(path), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // the failed lock is the error to report
		if err == unix.EWOULDBLOCK {
			return nil, eris.Wrapf(ErrLocked, "lock %s: stop the other process first", path)
		}
		return nil, err
	}
	return func() error {
		// Unlock explicitly: a child process has copies of all file descriptors between fork
		// and exec, and the lock would stay in force until that copy is closed too.
		return errors.Join(unix.Flock(int(file.Fd()), unix.LOCK_UN), file.Close())
	}, nil
}

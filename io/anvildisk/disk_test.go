package anvildisk

import (
	"errors"
	"io/fs"
	"path"
	"slices"
	"syscall"
)

var errInjected = errors.New("injected failure")

// span is a write, or without data a truncation, that isn't synced yet.
type span struct {
	offset int
	data   []byte
}

// inode is a file with its cached and its stored content.
type inode struct {
	cached, stored []byte
	dirty          []span
}

func overlay(content []byte, s span) []byte {
	if s.data == nil {
		return content[:min(s.offset, len(content))]
	}
	if end := s.offset + len(s.data); end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[s.offset:], s.data)
	return content
}

// simDisk is a disk with a page cache. As on Linux, pages whose sync failed
// stay readable but are marked clean, so a second sync doesn't write them.
type simDisk struct {
	cached, stored map[string]*inode
	removed        string // the latest removal that isn't synced
	locked         bool
	// calls counts the calls; the one with number failAt fails in mode.
	calls, failAt int
	mode          faultMode
}

type faultMode int

const (
	modeError     faultMode = iota // the call has no effect
	modeFull                       // as modeError, with ENOSPC
	modeTorn                       // half of a write reaches the file, then an error
	modeShort                      // half of a write, reported without an error
	modeCorrupted                  // a write stores zeros in place of its first half
	modeCount
)

func newSimDisk() *simDisk {
	return &simDisk{cached: map[string]*inode{}, stored: map[string]*inode{}, failAt: -1}
}

func (d *simDisk) fails() bool {
	d.calls++
	return d.calls-1 == d.failAt
}

func (d *simDisk) err() error {
	if d.mode == modeFull {
		return syscall.ENOSPC
	}
	return errInjected
}

// simple wraps a call that has no effect when it fails.
func (d *simDisk) simple(effect func() error) error {
	if d.fails() {
		return d.err()
	}
	return effect()
}

func (d *simDisk) files() Files {
	return Files{
		MakeDir: func(string) error { return d.simple(func() error { return nil }) },
		Lock: func(string) (func() error, error) {
			err := d.simple(func() error {
				if d.locked {
					return ErrLocked
				}
				d.locked = true
				return nil
			})
			return func() error { d.locked = false; return nil }, err
		},
		List: func(string) (names []string, err error) {
			err = d.simple(func() error {
				for name := range d.cached {
					names = append(names, name)
				}
				slices.Sort(names)
				return nil
			})
			return names, err
		},
		Read: func(file string) (data []byte, err error) {
			err = d.simple(func() error { data = slices.Clone(d.cached[path.Base(file)].cached); return nil })
			return data, err
		},
		Create: func(file string) (*File, error) {
			name := path.Base(file)
			if _, taken := d.cached[name]; taken {
				return nil, fs.ErrExist
			}
			node := &inode{}
			return d.file(node), d.simple(func() error { d.cached[name] = node; return nil })
		},
		Open: func(file string) (*File, error) {
			return d.file(d.cached[path.Base(file)]), d.simple(func() error { return nil })
		},
		Rename: func(from, to string) error {
			return d.simple(func() error {
				d.cached[path.Base(to)] = d.cached[path.Base(from)]
				delete(d.cached, path.Base(from))
				return nil
			})
		},
		Remove: func(file string) error {
			return d.simple(func() error {
				d.removed = path.Base(file)
				delete(d.cached, d.removed)
				return nil
			})
		},
		SyncDir: func(string) error {
			return d.simple(func() error {
				d.removed = ""
				clear(d.stored)
				for name, node := range d.cached {
					d.stored[name] = node
				}
				return nil
			})
		},
	}
}

func (d *simDisk) file(node *inode) *File {
	write := func(data []byte, offset int64) {
		change := span{int(offset), slices.Clone(data)}
		node.dirty = append(node.dirty, change)
		node.cached = overlay(node.cached, change)
	}
	return &File{
		WriteAt: func(data []byte, offset int64) (int, error) {
			half := len(data) / 2
			switch failed := d.fails(); {
			case !failed:
				write(data, offset)
				return len(data), nil
			case d.mode == modeTorn:
				write(data[:half], offset)
				return half, errInjected
			case d.mode == modeShort:
				write(data[:half], offset)
				return half, nil
			case d.mode == modeCorrupted:
				write(append(make([]byte, half), data[half:]...), offset)
				return half, errInjected
			}
			return 0, d.err()
		},
		Truncate: func(size int64) error {
			return d.simple(func() error { write(nil, size); return nil })
		},
		Sync: func() error {
			dirty := node.dirty
			node.dirty = nil
			return d.simple(func() error {
				for _, s := range dirty {
					node.stored = overlay(node.stored, s)
				}
				return nil
			})
		},
		Close: func() error { return d.simple(func() error { return nil }) },
	}
}

// restart kills the process. Unsynced data stays in the page cache.
func (d *simDisk) restart() { d.locked, d.failAt = false, -1 }

// losePower kills the process and drops what isn't synced, except for the
// latest removal: a file system may store removals in any order.
func (d *simDisk) losePower() {
	delete(d.stored, d.removed)
	d.restart()
	clear(d.cached)
	for name, node := range d.stored {
		node.cached, node.dirty = slices.Clone(node.stored), nil
		d.cached[name] = node
	}
}

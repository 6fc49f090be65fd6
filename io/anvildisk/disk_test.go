package anvildisk

import (
	"errors"
	"io/fs"
	"maps"
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

// do makes a call that has no effect when it fails.
func (d *simDisk) do(effect func()) error {
	d.calls++
	switch {
	case d.calls-1 != d.failAt:
		effect()
		return nil
	case d.mode == modeFull:
		return syscall.ENOSPC
	}
	return errInjected
}

func (d *simDisk) files() Files {
	nothing := func() {}
	return Files{
		MakeDir: func(string) error { return d.do(nothing) },
		Lock: func(string) (func() error, error) {
			return func() error { return nil }, d.do(nothing)
		},
		List: func(string) (names []string, err error) {
			err = d.do(func() { names = slices.Sorted(maps.Keys(d.cached)) })
			return names, err
		},
		Read: func(file string) (data []byte, err error) {
			err = d.do(func() { data = slices.Clone(d.cached[path.Base(file)].cached) })
			return data, err
		},
		Create: func(file string) (*File, error) {
			if d.cached[path.Base(file)] != nil {
				return nil, fs.ErrExist
			}
			node := &inode{}
			return d.file(node), d.do(func() { d.cached[path.Base(file)] = node })
		},
		Open: func(file string) (*File, error) { return d.file(d.cached[path.Base(file)]), d.do(nothing) },
		Rename: func(from, to string) error {
			return d.do(func() {
				d.cached[path.Base(to)] = d.cached[path.Base(from)]
				delete(d.cached, path.Base(from))
			})
		},
		Remove: func(file string) error {
			return d.do(func() {
				d.removed = path.Base(file)
				delete(d.cached, d.removed)
			})
		},
		SyncDir: func(string) error {
			return d.do(func() { d.stored, d.removed = maps.Clone(d.cached), "" })
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
			err := d.do(func() { write(data, offset) })
			if err == nil || d.mode < modeTorn {
				return len(data), err
			}
			half := len(data) / 2
			if d.mode == modeCorrupted {
				write(append(make([]byte, half), data[half:]...), offset)
				return half, err
			}
			write(data[:half], offset)
			if d.mode == modeShort {
				err = nil
			}
			return half, err
		},
		Truncate: func(size int64) error { return d.do(func() { write(nil, size) }) },
		Sync: func() error {
			dirty := node.dirty
			node.dirty = nil
			return d.do(func() {
				for _, s := range dirty {
					node.stored = overlay(node.stored, s)
				}
			})
		},
		Close: func() error { return d.do(func() {}) },
	}
}

// losePower drops what isn't synced, except for the latest removal: a file
// system may store removals in any order.
func (d *simDisk) losePower() {
	delete(d.stored, d.removed)
	d.cached = maps.Clone(d.stored)
	for _, node := range d.cached {
		node.cached, node.dirty = slices.Clone(node.stored), nil
	}
}

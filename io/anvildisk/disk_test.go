package anvildisk

import (
	"errors"
	"io/fs"
	"maps"
	"path"
	"slices"
	"sync"
	"syscall"

	"anvilshunt/core/anvilclock"
)

var errInjected = errors.New("injected failure")

// pendingWrite is a write that isn't synced yet, or a truncation if data is nil.
type pendingWrite struct {
	offset int
	data   []byte
}

// inode is a simulated file. Its cached content is what a read returns, its durable content is
// what survives a power failure.
type inode struct {
	cached, durable []byte
	unsynced        []pendingWrite
}

func applyWrite(content []byte, s pendingWrite) []byte {
	if s.data == nil {
		return content[:min(s.offset, len(content))]
	}
	if end := s.offset + len(s.data); end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[s.offset:], s.data)
	return content
}

// simDisk simulates a disk with a page cache. As on Linux, pages whose sync failed stay readable
// but are marked clean, so a second sync doesn't write them.
type simDisk struct {
	mu              sync.Mutex // Open syncs several files at the same time
	cached, durable map[string]*inode
	// names are the renamed and removed names since the latest sync of the directory.
	names []func(map[string]*inode)
	// calls counts the file-system calls. The call with the number failAt, counted from 0, fails
	// in the way that mode selects.
	calls, failAt int
	mode          faultMode
}

type faultMode int

const (
	modeError     faultMode = iota // the call has no effect and returns an error
	modeNoSpace                    // as modeError, but the error is ENOSPC
	modeTorn                       // half of a write reaches the file and the call returns an error
	modeShort                      // half of a write reaches the file and the call returns no error
	modeCorrupted                  // a write stores zeros instead of its first half and returns an error
	modeCount
)

func newSimDisk() *simDisk {
	return &simDisk{cached: map[string]*inode{}, durable: map[string]*inode{}, failAt: -1}
}

// call counts a file-system call and applies its effect, unless this call is the one to fail.
func (d *simDisk) call(effect func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	switch {
	case d.calls-1 != d.failAt:
		effect()
		return nil
	case d.mode == modeNoSpace:
		return syscall.ENOSPC
	}
	return errInjected
}

func (d *simDisk) files() Files {
	nothing := func() {}
	return Files{
		MakeDir: func(string) error { return d.call(nothing) },
		Lock: func(string) (func() error, error) {
			return func() error { return nil }, d.call(nothing)
		},
		List: func(string) (names []string, err error) {
			err = d.call(func() { names = slices.Sorted(maps.Keys(d.cached)) })
			return names, err
		},
		ModTime: func(string) (anvilclock.Millis, error) { return 0, d.call(nothing) },
		Read: func(file string) (data []byte, err error) {
			err = d.call(func() { data = slices.Clone(d.cached[path.Base(file)].cached) })
			return data, err
		},
		Create: func(file string) (*File, error) {
			if d.cached[path.Base(file)] != nil {
				return nil, fs.ErrExist
			}
			node := &inode{}
			return d.file(node), d.call(func() { d.cached[path.Base(file)] = node })
		},
		Open: func(file string) (*File, error) { return d.file(d.cached[path.Base(file)]), d.call(nothing) },
		Rename: func(from, to string) error {
			node := d.cached[path.Base(from)]
			return d.call(func() {
				d.changeName(func(names map[string]*inode) {
					names[path.Base(to)] = node
					delete(names, path.Base(from))
				})
			})
		},
		Remove: func(file string) error {
			return d.call(func() { d.changeName(func(names map[string]*inode) { delete(names, path.Base(file)) }) })
		},
		SyncDir: func(string) error {
			return d.call(func() { d.durable, d.names = maps.Clone(d.cached), nil })
		},
	}
}

func (d *simDisk) file(node *inode) *File {
	write := func(data []byte, offset int64) {
		change := pendingWrite{int(offset), slices.Clone(data)}
		node.unsynced = append(node.unsynced, change)
		node.cached = applyWrite(node.cached, change)
	}
	return &File{
		WriteAt: func(data []byte, offset int64) (int, error) {
			err := d.call(func() { write(data, offset) })
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
		Truncate: func(size int64) error { return d.call(func() { write(nil, size) }) },
		Sync: func() error {
			unsynced := node.unsynced
			node.unsynced = nil
			return d.call(func() {
				for _, s := range unsynced {
					node.durable = applyWrite(node.durable, s)
				}
			})
		},
		Close: func() error { return d.call(func() {}) },
	}
}

func (d *simDisk) changeName(change func(map[string]*inode)) {
	change(d.cached)
	d.names = append(d.names, change)
}

// losePower simulates a power failure: it drops everything that isn't synced. Of the names that were changed since, the last one stays in
// effect, or the first one, because a file system may make them durable in any order.
func (d *simDisk) losePower(keepsFirst bool) {
	if n := len(d.names); n > 0 && keepsFirst {
		d.names[0](d.durable)
	} else if n > 0 {
		d.names[n-1](d.durable)
	}
	d.names = nil
	d.cached = maps.Clone(d.durable)
	for _, node := range d.cached {
		node.cached, node.unsynced = slices.Clone(node.durable), nil
	}
}

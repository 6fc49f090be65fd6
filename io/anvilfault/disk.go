// Package anvilfault injects faults of the operating system in tests.
package anvilfault

import "anvilshunt/io/anvildisk"

// BeforeSync returns the file functions of the operating system, but calls the function
// before ahead of each sync of a file. If that returns an error, the sync fails with it.
func BeforeSync(before func() error) anvildisk.Files {
	files := anvildisk.OSFiles()
	hook := func(open func(string) (*anvildisk.File, error)) func(string) (*anvildisk.File, error) {
		return func(path string) (*anvildisk.File, error) {
			file, err := open(path)
			if err != nil {
				return nil, err
			}
			sync := file.Sync
			file.Sync = func() error {
				if err := before(); err != nil {
					return err
				}
				return sync()
			}
			return file, nil
		}
	}
	files.Open, files.Create = hook(files.Open), hook(files.Create)
	return files
}

// BeforeEverySync is like BeforeSync, and calls before ahead of each sync of a directory, too.
func BeforeEverySync(before func() error) anvildisk.Files {
	files := BeforeSync(before)
	syncDir := files.SyncDir
	files.SyncDir = func(dir string) error {
		if err := before(); err != nil {
			return err
		}
		return syncDir(dir)
	}
	return files
}

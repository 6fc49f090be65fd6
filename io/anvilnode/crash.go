package anvilnode

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"go.uber.org/zap"

	"anvilshunt/io/anvillogs"
)

const (
	// crashFile is the file in the data directory to which the Go runtime also writes the fatal error that ends the process. A record
	// of the log lacks standard error.
	crashFile = "crash.txt"
	// maxCrashText is how many bytes of that file are logged. The stack of the goroutine that failed comes first.
	maxCrashText = 2000
)

// watchCrashes logs the fatal error that ended the former process on a data directory, if it ended by one, and has the runtime
// record one of this process. Nothing is synced: the file needs to outlive the process only.
func (n *Node) watchCrashes(dir string) {
	path := filepath.Join(dir, crashFile)
	former, err := readCrash(path)
	if former != "" {
		n.Log.Write(anvillogs.ProcessCrashed, zap.String("text", former))
	}
	if err == nil {
		err = recordCrashes(path)
	}
	if err != nil {
		n.Log.Write(anvillogs.CrashFileFailed, zap.Error(err))
	}
}

// readCrash returns the first bytes of a file that recordCrashes has written, or "" if there is none.
func readCrash(path string) (string, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(file, maxCrashText))
	return strings.TrimSpace(string(text)), err
}

// recordCrashes empties a file and has the runtime write there what ends the process: a fatal error or a panic that isn't recovered.
func recordCrashes(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(debug.SetCrashOutput(file, debug.CrashOptions{}), file.Close()) // the runtime has its own descriptor
}

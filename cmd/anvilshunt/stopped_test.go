//go:build linux

package main_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// suspended reports whether all threads of a process are stopped. The kernel stops each thread on its
// own, some time after SIGSTOP was sent, so that a busy machine lets a process run on for a while.
func suspended(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil || threadState(stat) != 'T' {
			return false
		}
	}
	return true
}

// threadState returns the state letter of a /proc stat file, or 0 if the file can't be parsed. The
// state follows the name of the program, which is in parentheses and may itself contain any character.
func threadState(stat []byte) byte {
	end := bytes.LastIndexByte(stat, ')')
	if end < 0 || end+2 >= len(stat) {
		return 0
	}
	return stat[end+2]
}

// Guards against a check that takes a running thread for a stopped one, because the name of the program
// looks like the state that follows it.
func TestThreadState(t *testing.T) {
	for _, test := range []struct {
		stat  string
		state byte
	}{
		{"7 (anvilshunt) T 1 7", 'T'},
		{"7 (a) T b) S 1 7", 'S'},
		{"7 (anvilshunt)", 0},
		{"", 0},
	} {
		assert.Equal(t, threadState([]byte(test.stat)), test.state, test.stat)
	}
}

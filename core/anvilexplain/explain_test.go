package anvilexplain

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWalks checks the verdicts for ids in recorded logs. It guards against log events and fields
// that are renamed, so that Read or Explain no longer finds them, and against taking a longer id that
// begins with the given one for the given one.
func TestWalks(t *testing.T) {
	walks, err := os.Open("testdata/walks.txt")
	assert.NilError(t, err)
	defer walks.Close()
	scanner := bufio.NewScanner(walks)
	for scanner.Scan() {
		query, expected, found := strings.Cut(scanner.Text(), " => ")
		if !found || strings.HasPrefix(query, "#") {
			continue
		}
		log, id, _ := strings.Cut(query, " ")
		t.Run(log+"/"+id, func(t *testing.T) {
			file, err := os.Open(filepath.Join("testdata", log))
			assert.NilError(t, err)
			defer file.Close()
			lines, err := Read(file, id)
			assert.NilError(t, err)
			explanation, err := Explain(id, lines)
			if err != nil {
				assert.Error(t, err, expected)
				return
			}
			assert.Equal(t, explanation.Verdict, expected)
		})
	}
	assert.NilError(t, scanner.Err())
}

// TestOrder guards against lines that are listed in the order of the log files instead of by time.
func TestOrder(t *testing.T) {
	log := `front-1 {"time":"2026-12-04T10:00:02Z","event":607,"msg":"run placed","task":"j.0.0.0"}
core-1 {"time":"2026-12-04T10:00:01Z","event":604,"msg":"job accepted","job":"j"}
not a line
core-1 {"time":"2026-12-04T10:00:03Z","event":604,"msg":"job accepted","job":"jj"}`
	lines, err := Read(strings.NewReader(log), "j")
	assert.NilError(t, err)
	explanation, err := Explain("j", lines)
	assert.NilError(t, err)
	assert.Equal(t, len(explanation.Lines), 2)
	assert.Equal(t, explanation.Lines[0].Event, 604)
}

// TestFoldedRequest guards against a request that can't be found because its line was folded into that of a later one.
func TestFoldedRequest(t *testing.T) {
	log := `{"time":"2026-12-04T10:00:01Z","event":701,"msg":"request could not be forwarded","path":"/q/i","folded":2,"paths":["/q/jj","/q/j"],"error":"no leader"}`
	for id, found := range map[string]int{"i": 1, "j": 1, "jj": 1, "q": 0} {
		lines, err := Read(strings.NewReader(log), id)
		assert.NilError(t, err)
		assert.Equal(t, len(lines), found, id)
	}
}

package anvilexplain

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWalks goes from ids to causes over logs of a run. It guards against
// events and fields that are renamed, so that the way is lost, and against
// taking a longer id for the one that was asked for.
func TestWalks(t *testing.T) {
	walks, err := os.Open("testdata/walks.txt")
	assert.NilError(t, err)
	defer walks.Close()
	scanner := bufio.NewScanner(walks)
	for scanner.Scan() {
		walk, expected, found := strings.Cut(scanner.Text(), " => ")
		if !found || strings.HasPrefix(walk, "#") {
			continue
		}
		log, id, _ := strings.Cut(walk, " ")
		t.Run(log+"/"+id, func(t *testing.T) {
			file, err := os.Open(filepath.Join("testdata", log))
			assert.NilError(t, err)
			defer file.Close()
			lines, err := Read(file, id)
			assert.NilError(t, err)
			story, err := Explain(id, lines)
			if err != nil {
				assert.Error(t, err, expected)
				return
			}
			assert.Equal(t, story.Verdict, expected)
		})
	}
	assert.NilError(t, scanner.Err())
}

// TestOrder guards against a story in the order of the files.
func TestOrder(t *testing.T) {
	log := `front-1 {"time":"2026-12-04T10:00:02Z","event":607,"msg":"run placed","task":"j.0.0.0"}
core-1 {"time":"2026-12-04T10:00:01Z","event":604,"msg":"job accepted","job":"j"}
not a line
core-1 {"time":"2026-12-04T10:00:03Z","event":604,"msg":"job accepted","job":"jj"}`
	lines, err := Read(strings.NewReader(log), "j")
	assert.NilError(t, err)
	story, err := Explain("j", lines)
	assert.NilError(t, err)
	assert.Equal(t, len(story.Lines), 2)
	assert.Equal(t, story.Lines[0].Event, 604)
}

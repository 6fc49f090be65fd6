package anvilsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"anvilshunt/io/anvilsettings"
)

// Compares the problems reported for each file in testdata with the golden files. It guards against
// invalid settings that are accepted or reported without the line and the expected value.
func TestProblemsNameLineAndExpectation(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			_, err = anvilsettings.Parse(filepath.Base(file), data)
			got := "ok"
			if err != nil {
				assert.ErrorIs(t, err, anvilsettings.ErrInvalid)
				got = err.Error()
			}
			golden.Assert(t, got+"\n", strings.TrimSuffix(filepath.Base(file), ".jsonc")+".golden")
		})
	}
}

package anvilexplain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSpeeds guards against showing a speed that was recorded before another one, also if the logs of two leaders are
// read in another order, and against a line that is cut off.
func TestSpeeds(t *testing.T) {
	logs := []string{
		`core-2 {"time":"2026-12-04T10:00:05Z","event":645,"machines":["m1","m3"],"speeds":[0.61,1],"errors":[0.08,0.1],"comparisons":[6,3]}
{"time":"2026-12-04T10:00:06Z","event":645,"machines":["m1"],"spe`,
		`{"time":"2026-12-04T10:00:01Z","event":645,"machines":["m1","m2"],"speeds":[1,1.6],"errors":[0.2,0.1],"comparisons":[1,4]}`,
	}
	speeds := Speeds{}
	for _, log := range logs {
		assert.NilError(t, speeds.Read(strings.NewReader(log)))
	}
	var names []string
	for _, speed := range speeds.Sorted() {
		names = append(names, speed.Machine)
	}
	assert.DeepEqual(t, names, []string{"m1", "m3", "m2"})
	assert.Equal(t, speeds["m1"].Speed, 0.61)
	assert.Equal(t, speeds["m1"].Comparisons, 6)
}

// TestNeighbours guards against showing a table of pairs that a later one has replaced, also by an empty one.
func TestNeighbours(t *testing.T) {
	line := `{"time":"2026-12-04T10:00:0%d","event":647,"victims":["a"],"besides":["b"],"slows":[true],"factors":[0.8],"errors":[0.05],"runs":[9]}`
	var table Neighbours
	assert.NilError(t, table.Read(strings.NewReader(strings.Replace(line, "%d", "1Z", 1))))
	assert.DeepEqual(t, table.Pairs, []Neighbour{{Victim: "a", Beside: "b", Factor: 0.8, Error: 0.05, Runs: 9, Slows: true}})
	assert.NilError(t, table.Read(strings.NewReader(`{"time":"2026-12-04T10:00:05Z","event":647,"victims":[],"besides":[]}`)))
	assert.NilError(t, table.Read(strings.NewReader(strings.Replace(line, "%d", "2Z", 1))))
	assert.Equal(t, len(table.Pairs), 0)
}

// TestSlowPlacement guards against a late job whose explanation hides that its runs were on slow targets.
func TestSlowPlacement(t *testing.T) {
	log := `{"time":"2026-12-04T10:00:01Z","event":607,"task":"j.0.0.0","run":1,"target":"t1","speed":0.62,"result":0}
{"time":"2026-12-04T10:00:01Z","event":607,"task":"j.0.0.1","run":1,"target":"t2","speed":1.6,"result":0}
{"time":"2026-12-04T10:00:09Z","event":619,"job":"j","phase":"done","waited":100,"took":8000,"limit":5000}`
	lines, err := Read(strings.NewReader(log), "j")
	assert.NilError(t, err)
	explanation, err := Explain("j", lines)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(explanation.Verdict, "1 runs were placed on slower targets than ordinary ones (the slowest has 0.62"), explanation.Verdict)
}

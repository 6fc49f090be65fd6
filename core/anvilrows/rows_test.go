package anvilrows

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type document struct {
	Name string `json:"name"`
	Rows List   `json:"rows"`
}

// TestUnmarshal guards against an entry that fails the document, and against a change of the other entries and
// fields when such an entry is replaced.
func TestUnmarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usable := rapid.SampledFrom([]string{`{"a":"],}\"{["}`, `[1,[2,"x"]]`, `"a,\\"`, `null`, ` {"b" : [ ] } `, `7`})
		odd := rapid.SampledFrom([]string{strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "\"a\nb\"", `0x1F`, `{"a":x}`, `{"a":"\q"}`})
		var entries, expected []string
		for range rapid.IntRange(0, 5).Draw(t, "entries") {
			if rapid.Bool().Draw(t, "odd") {
				entries = append(entries, odd.Draw(t, "odd entry"))
				continue
			}
			entry := usable.Draw(t, "entry")
			entries, expected = append(entries, entry), append(expected, strings.TrimSpace(entry))
		}
		var d document
		assert.NilError(t, Unmarshal([]byte(`{"rows":[`+strings.Join(entries, ",")+`],"name":"n","other":{"x":[[1]]}}`), &d))
		assert.Equal(t, d.Name, "n")
		assert.Equal(t, len(d.Rows), len(entries))
		rest := expected
		for i, entry := range d.Rows {
			if len(rest) > 0 && strings.TrimSpace(entries[i]) == rest[0] {
				assert.Equal(t, string(entry), rest[0])
				rest = rest[1:]
			}
		}
		assert.Equal(t, len(rest), 0)
	})
}

// TestDocumentsThatEnd guards against a document that is cut off, or isn't an object, and is taken for a
// valid one or ends the process.
func TestDocumentsThatEnd(t *testing.T) {
	whole := `{"rows":[{"a":"b\"c"},[1]],"name":"n"}`
	for end := range len(whole) {
		var d document
		assert.Check(t, Unmarshal([]byte(whole[:end]), &d) != nil, "%s", whole[:end])
	}
	for _, text := range []string{`]]]]}}`, `[x]`, `{"rows":"`, `{"rows":["\`, `}{`, strings.Repeat("[", 100_000)} {
		var d document
		assert.Check(t, Unmarshal([]byte(text), &d) != nil, "%.20s", text)
	}
}

// TestDecode guards against an entry that is neither used nor reported.
func TestDecode(t *testing.T) {
	ignored := 0
	numbers := Decode(List{json.RawMessage("1"), json.RawMessage(`"x"`), json.RawMessage("3")}, func(raw json.RawMessage) (int, error) {
		var number int
		err := json.Unmarshal(raw, &number)
		return number, err
	}, func(json.RawMessage, error) { ignored++ })
	assert.DeepEqual(t, numbers, []int{1, 3})
	assert.Equal(t, ignored, 1)
}

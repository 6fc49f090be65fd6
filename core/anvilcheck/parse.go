package anvilcheck

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrows"
)

// Document is a change set with the lines of its parts.
type Document struct {
	Change anvilconfig.Change
	data   []byte
	// lines maps "set[0].weight", and the like, to a line. The path "set[0]" is that of an object, and the
	// members of its spec follow without the word spec, as in anvilconfig.Problem.
	lines map[string]int
	// paths are the paths at which each object occurs, in the order of the document.
	paths map[anvilconfig.Key][]string
}

// IsChange reports whether a file holds a change set and not the settings of an instance. Text that
// can't be parsed counts as settings.
func IsChange(data []byte) bool {
	value, err := hujson.Parse(data)
	return err == nil && (value.Find("/set") != nil || value.Find("/delete") != nil)
}

// Parse decodes a change set in JSON with comments. Findings are the parts that can't be decoded.
func Parse(data []byte) (*Document, []Finding) {
	d := &Document{data: data, lines: map[string]int{}, paths: map[anvilconfig.Key][]string{}}
	value, err := hujson.Parse(data)
	if err != nil {
		return d, []Finding{{Severity: SeverityError, Code: CodeBadFormat, Line: anvilrows.SyntaxErrorLine(err), Text: err.Error()}}
	}
	d.addLines("", value)
	value.Standardize()
	change, problems := anvilconfig.ParseChange(value.Pack())
	d.Change = change
	return d, d.Locate(FromProblems(problems))
}

// Locate sets the lines of findings about parts of the document.
func (d *Document) Locate(findings []Finding) []Finding {
	for i := range findings {
		findings[i].Line = d.line(findings[i])
	}
	return findings
}

// line returns the line of the field that a finding names or, if the document lacks it, that of the
// object. Of an object that occurs twice it is the later one. It returns 0 for an object that the
// document does not contain.
func (d *Document) line(finding Finding) int {
	if line := d.lines[finding.Field]; line > 0 && finding.Field != "" {
		return line
	}
	key := anvilconfig.Key{Kind: finding.Kind, Name: finding.Name}
	if key == (anvilconfig.Key{}) {
		return 1
	}
	paths := d.paths[key]
	for _, path := range slices.Backward(paths) {
		if line := d.lines[path+"."+finding.Field]; line > 0 {
			return line
		}
	}
	if len(paths) == 0 {
		return 0
	}
	return d.lines[paths[len(paths)-1]]
}

// addLines records the lines of a value and of all values within it.
func (d *Document) addLines(path string, value hujson.Value) {
	d.lines[path] = 1 + bytes.Count(d.data[:value.StartOffset], []byte("\n"))
	switch inner := value.Value.(type) {
	case *hujson.Array:
		for i, element := range inner.Elements {
			item := fmt.Sprintf("%s[%d]", path, i)
			d.addLines(item, element)
			if object, ok := element.Value.(*hujson.Object); ok {
				d.paths[keyOf(object)] = append(d.paths[keyOf(object)], item)
			}
		}
	case *hujson.Object:
		for _, member := range inner.Members {
			d.addLines(join(path, member.Name.Value.(hujson.Literal).String()), member.Value)
		}
	}
}

// join appends the name of a member to a path, and leaves out the word spec.
func join(path, name string) string {
	switch {
	case path == "":
		return name
	case name == "spec":
		return path
	}
	return path + "." + name
}

// keyOf returns the kind and name of an object as far as it has them.
func keyOf(object *hujson.Object) anvilconfig.Key {
	var key anvilconfig.Key
	for _, member := range object.Members {
		literal, ok := member.Value.Value.(hujson.Literal)
		if !ok {
			continue
		}
		switch member.Name.Value.(hujson.Literal).String() {
		case "kind":
			key.Kind = anvilconfig.Kind(literal.String())
		case "name":
			key.Name = anvilid.ObjectName(literal.String())
		}
	}
	return key
}

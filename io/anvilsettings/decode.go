package anvilsettings

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"anvilshunt/core/anvilrows"
)

// document is a settings file while it is decoded and checked. It records the line of each field,
// so that checks after decoding can report the line as well.
type document struct {
	file string
	data []byte
	// lines maps the path of each field, such as "limits.body", to its line.
	lines    map[string]int
	problems []Problem
}

func decode(file string, data []byte, into any) (*document, []Problem) {
	doc := &document{file: file, data: data, lines: map[string]int{"": 1}}
	value, err := hujson.Parse(data)
	if err != nil {
		doc.problems = append(doc.problems, Problem{File: file, Line: anvilrows.SyntaxErrorLine(err), Text: err.Error()})
		return doc, doc.problems
	}
	doc.decodeValue(value, reflect.ValueOf(into).Elem(), "")
	return doc, doc.problems
}

func (d *document) lineAtOffset(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d *document) addProblem(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.lineForPath(path), Text: fmt.Sprintf(format, args...)})
}

// lineForPath returns the line of the field with the given path. If the file does not contain the
// field, it returns the line of the innermost enclosing field that the file contains.
func (d *document) lineForPath(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
}

func (d *document) decodeValue(value hujson.Value, into reflect.Value, path string) {
	d.lines[path] = d.lineAtOffset(value.StartOffset)
	switch into.Kind() {
	case reflect.Struct:
		d.decodeObject(value, into, path)
	case reflect.Slice:
		d.decodeArray(value, into, path)
	default:
		d.decodeLiteral(value, into, path)
	}
}

func (d *document) decodeObject(value hujson.Value, into reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "%s: expected an object", displayName(path))
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		d.lines[child] = d.lineAtOffset(member.Name.StartOffset)
		field, known := fieldByTag(into, name)
		switch {
		case !known:
			d.addProblem(child, "%s: unknown name; expected one of %s", child, strings.Join(fieldTags(into), ", "))
		case seen[name]:
			d.addProblem(child, "%s: the name occurs twice", child)
		default:
			d.decodeValue(member.Value, field, child)
		}
		seen[name] = true
	}
}

func (d *document) decodeArray(value hujson.Value, into reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "%s: expected a list", displayName(path))
		return
	}
	items := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decodeValue(element, items.Index(i), joinPath(path, fmt.Sprint(i)))
	}
	into.Set(items)
}

func (d *document) decodeLiteral(value hujson.Value, into reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.addProblem(path, "%s: expected %s", path, expectedType(into.Kind()))
		return
	}
	switch {
	case into.Kind() == reflect.String && literal.Kind() == '"':
		into.SetString(literal.String())
	case into.Kind() == reflect.Bool && (literal.Kind() == 't' || literal.Kind() == 'f'):
		into.SetBool(literal.Bool())
	case into.CanInt() && literal.Kind() == '0' && !strings.ContainsAny(string(literal), ".eE"):
		into.SetInt(literal.Int())
	default:
		d.addProblem(path, "%s: expected %s, found %s", path, expectedType(into.Kind()), literal)
	}
}

func expectedType(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a whole number"
}

func fieldByTag(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if into.Type().Field(i).Tag.Get("json") == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldTags(into reflect.Value) []string {
	var names []string
	for i := range into.NumField() {
		names = append(names, into.Type().Field(i).Tag.Get("json"))
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayName(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

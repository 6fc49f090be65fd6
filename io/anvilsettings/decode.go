package anvilsettings

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// document remembers on which line each field stands, so that checks made
// after decoding can name the line.
type document struct {
	file     string
	data     []byte
	lines    map[string]int
	problems []Problem
}

func decode(file string, data []byte, into any) (*document, []Problem) {
	doc := &document{file: file, data: data, lines: map[string]int{"": 1}}
	value, err := hujson.Parse(data)
	if err != nil {
		doc.problems = append(doc.problems, Problem{File: file, Line: lineOf(err), Text: err.Error()})
		return doc, doc.problems
	}
	doc.value(value, reflect.ValueOf(into).Elem(), "")
	return doc, doc.problems
}

// lineOf finds the line in a syntax error of hujson, which begins with
// "hujson: line N, column M".
func lineOf(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 1
	}
	return line
}

func (d *document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d *document) report(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.line(path), Text: fmt.Sprintf(format, args...)})
}

// line returns the line of a field, or of the nearest enclosing field that
// the file has.
func (d *document) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
}

func (d *document) value(value hujson.Value, into reflect.Value, path string) {
	d.lines[path] = d.lineAt(value.StartOffset)
	switch into.Kind() {
	case reflect.Struct:
		d.object(value, into, path)
	case reflect.Slice:
		d.array(value, into, path)
	default:
		d.literal(value, into, path)
	}
}

func (d *document) object(value hujson.Value, into reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(path, "%s: expected an object", nameOf(path))
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := join(path, name)
		d.lines[child] = d.lineAt(member.Name.StartOffset)
		field, known := fieldOf(into, name)
		switch {
		case !known:
			d.report(child, "%s: unknown name; expected one of %s", child, strings.Join(namesOf(into), ", "))
		case seen[name]:
			d.report(child, "%s: the name stands twice", child)
		default:
			d.value(member.Value, field, child)
		}
		seen[name] = true
	}
}

func (d *document) array(value hujson.Value, into reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.report(path, "%s: expected a list", nameOf(path))
		return
	}
	items := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.value(element, items.Index(i), join(path, fmt.Sprint(i)))
	}
	into.Set(items)
}

func (d *document) literal(value hujson.Value, into reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.report(path, "%s: expected %s", path, wanted(into.Kind()))
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
		d.report(path, "%s: expected %s, found %s", path, wanted(into.Kind()), literal)
	}
}

func wanted(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a whole number"
}

func fieldOf(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if into.Type().Field(i).Tag.Get("json") == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func namesOf(into reflect.Value) []string {
	var names []string
	for i := range into.NumField() {
		names = append(names, into.Type().Field(i).Tag.Get("json"))
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func nameOf(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

package anvilcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"anvilshunt/core/anvilconfig"
)

// Action is what a change does to an object.
type Action string

// Actions of differences.
const (
	Added   Action = "add"
	Changed Action = "change"
	Deleted Action = "delete"
)

// FieldChange is one field that differs, with its values as JSON. Old or New is empty if the field isn't set on that side.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// Difference is what a change does to one object, field by field.
type Difference struct {
	anvilconfig.Key
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// String describes the difference on one line.
func (d Difference) String() string {
	fields := make([]string, 0, len(d.Fields))
	for _, field := range d.Fields {
		switch {
		case d.Action != Changed:
			fields = append(fields, field.Field+" "+cmp.Or(string(field.Old), string(field.New)))
		default:
			fields = append(fields, fmt.Sprintf("%s %s -> %s", field.Field, orNone(field.Old), orNone(field.New)))
		}
	}
	line := fmt.Sprintf("%s %s %q", d.Action, d.Kind, d.Name)
	if len(fields) == 0 {
		return line
	}
	return line + ": " + strings.Join(fields, ", ")
}

func orNone(value json.RawMessage) string {
	if len(value) == 0 {
		return "none"
	}
	return string(value)
}

// Differences returns what a change set would change in a configuration, ordered by kind and name.
func Differences(current anvilconfig.Snapshot, change anvilconfig.Change) ([]Difference, error) {
	after := current.Clone()
	after.Apply(change, current.Revision+1)
	var differences []Difference
	for _, found := range anvilconfig.Diff(current, after) {
		difference := Difference{Key: found.Key, Action: Changed}
		switch {
		case found.Old == nil:
			difference.Action = Added
		case found.New == nil:
			difference.Action = Deleted
		}
		old, err := fieldsOf(found.Old)
		if err != nil {
			return nil, err
		}
		updated, err := fieldsOf(found.New)
		if err != nil {
			return nil, err
		}
		difference.Fields = compareFields(old, updated)
		differences = append(differences, difference)
	}
	return differences, nil
}

func compareFields(old, updated map[string]json.RawMessage) []FieldChange {
	names := maps.Clone(old)
	maps.Copy(names, updated)
	var changes []FieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(old[name], updated[name]) {
			changes = append(changes, FieldChange{Field: name, Old: old[name], New: updated[name]})
		}
	}
	return changes
}

// fieldsOf returns the fields of an object's spec as text. The fields of inner objects have paths such
// as objectives.wait.limit.
func fieldsOf(object *anvilconfig.Object) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if object == nil {
		return fields, nil
	}
	data, err := json.Marshal(object)
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", object.Kind, object.Name, err)
	}
	var form struct {
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.Unmarshal(data, &form); err != nil {
		return nil, fmt.Errorf("decode %s %q: %w", object.Kind, object.Name, err)
	}
	addFields(fields, "", form.Spec)
	return fields, nil
}

func addFields(fields map[string]json.RawMessage, path string, data json.RawMessage) {
	var inner map[string]json.RawMessage
	if json.Unmarshal(data, &inner) != nil || inner == nil { // a value without fields
		fields[path] = data
		return
	}
	for name, value := range inner {
		addFields(fields, join(path, name), value)
	}
}

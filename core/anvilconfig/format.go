package anvilconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrows"
)

// ErrFormat is returned for JSON that isn't a valid configuration object.
var ErrFormat = errors.New("invalid object")

// specs returns a pointer to the spec field of each kind of object.
func (o *Object) specs() map[Kind]any {
	return map[Kind]any{KindAccount: &o.Account, KindGuarantee: &o.Guarantee, KindShape: &o.Shape, KindService: &o.Service}
}

// MarshalJSON encodes the object with the fields kind, name, spec and revision, as operators read
// and write it. The field spec contains the spec of the object's kind.
func (o Object) MarshalJSON() ([]byte, error) {
	form := struct {
		Key
		Spec     any              `json:"spec"`
		Revision anvilid.Revision `json:"revision,omitempty"`
	}{Key: o.Key, Revision: o.Revision}
	form.Spec = o.specs()[o.Kind]
	return json.Marshal(form)
}

// UnmarshalJSON decodes an object in the form that MarshalJSON writes. Unknown fields are refused. A
// revision is accepted, so that an operator can edit a listed object and send it back.
func (o *Object) UnmarshalJSON(data []byte) error {
	var form struct {
		Key
		Spec     json.RawMessage  `json:"spec"`
		Revision anvilid.Revision `json:"revision"`
	}
	if err := decodeStrict(data, &form); err != nil {
		return fmt.Errorf("%w: %w; use the fields kind, name and spec", ErrFormat, err)
	}
	*o = Object{Key: form.Key, Revision: form.Revision}
	spec, ok := o.specs()[form.Kind]
	if !ok || len(form.Spec) == 0 {
		return nil // Check reports a wrong kind or a missing spec
	}
	if err := decodeStrict(form.Spec, spec); err != nil {
		return fmt.Errorf("%w: spec of %s %q: %w", ErrFormat, form.Kind, form.Name, err)
	}
	return nil
}

// decodeStrict decodes a single JSON value. It returns an error for unknown fields and for text after
// the value.
func decodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("there is text after the value")
	}
	return nil
}

const (
	// objectBytes is the size in memory of a small object of a change set.
	objectBytes = 100
	// maxFormatProblems limits the objects that are reported because they can't be parsed.
	maxFormatProblems = 100
)

// ParseChange parses the JSON of a change set that an operator sends, and reports the objects that cannot be parsed, up to
// maxFormatProblems of them.
func ParseChange(data []byte) (Change, []Problem) {
	var found problems
	var form struct {
		ID       anvilid.ChangeID   `json:"id"`
		Operator anvilid.OperatorID `json:"operator"`
		Base     anvilid.Revision   `json:"base"`
		Set      []json.RawMessage  `json:"set"`
		Delete   []json.RawMessage  `json:"delete"`
	}
	err := anvilrows.CheckLists(data, objectBytes)
	if err == nil {
		err = decodeStrict(data, &form)
	}
	if err != nil {
		found.add(Key{}, "", CodeBadFormat, "the change set can't be read: %v; use the fields id, operator, base, set and delete", err)
		return Change{}, found
	}
	change := Change{ID: form.ID, Operator: form.Operator, BaseRevision: form.Base}
	for i, raw := range form.Set {
		if len(found) >= maxFormatProblems {
			break
		}
		var object Object
		if err := object.UnmarshalJSON(raw); err != nil {
			found.add(keyOf(raw), fmt.Sprintf("set[%d]", i), CodeBadFormat, "%v", err)
			continue
		}
		object.Revision = 0
		change.Set = append(change.Set, object)
	}
	for i, raw := range form.Delete {
		if len(found) >= maxFormatProblems {
			break
		}
		var key Key
		if err := decodeStrict(raw, &key); err != nil {
			found.add(keyOf(raw), fmt.Sprintf("delete[%d]", i), CodeBadFormat, "%v; use the fields kind and name", err)
			continue
		}
		change.Delete = append(change.Delete, key)
	}
	return change, found
}

// keyOf returns the kind and name of an object that couldn't be parsed, for use in a Problem. They are
// empty if not even they can be parsed.
func keyOf(raw []byte) Key {
	var key Key
	if json.Unmarshal(raw, &key) != nil {
		return Key{}
	}
	return key
}

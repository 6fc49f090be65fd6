package anvilconfig

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"anvilshunt/core/anvilid"
)

// Snapshot is the configuration at one revision. Readers must not modify the specs of its objects.
type Snapshot struct {
	Revision anvilid.Revision
	Objects  map[Key]Object
}

// NewSnapshot returns a configuration that consists of the given objects.
func NewSnapshot(revision anvilid.Revision, objects ...Object) Snapshot {
	s := Snapshot{Revision: revision, Objects: make(map[Key]Object, len(objects))}
	for _, object := range objects {
		s.Objects[object.Key] = object
	}
	return s
}

// Account returns the spec of an account, or nil if the configuration has no such account.
func (s Snapshot) Account(name anvilid.AccountID) *Account {
	return s.Objects[Key{KindAccount, anvilid.ObjectName(name)}].Account
}

// Service returns the spec of a service, or nil if the configuration has no such service.
func (s Snapshot) Service(name anvilid.ServiceName) *Service {
	return s.Objects[Key{KindService, anvilid.ObjectName(name)}].Service
}

// Shape returns the spec of a shape, or nil if the configuration has no such shape.
func (s Snapshot) Shape(name anvilid.ShapeName) *Shape {
	return s.Objects[Key{KindShape, anvilid.ObjectName(name)}].Shape
}

// Guarantee returns the spec of a guarantee, or nil if the configuration has no such guarantee.
func (s Snapshot) Guarantee(name anvilid.ObjectName) *Guarantee {
	return s.Objects[Key{KindGuarantee, name}].Guarantee
}

// Clone returns a copy whose map of objects can be changed without changing the original. The specs
// are shared with the original and must not be modified.
func (s Snapshot) Clone() Snapshot {
	return Snapshot{Revision: s.Revision, Objects: maps.Clone(s.Objects)}
}

// List returns all objects, ordered by key.
func (s Snapshot) List() []Object {
	objects := make([]Object, 0, len(s.Objects))
	for _, object := range s.Objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b Object) int { return a.Compare(b.Key) })
	return objects
}

// Apply applies a change set in place and sets the revision of the changed objects. The change must
// have passed Check.
func (s *Snapshot) Apply(change Change, revision anvilid.Revision) {
	if s.Objects == nil {
		s.Objects = map[Key]Object{}
	}
	for _, key := range change.Delete {
		delete(s.Objects, key)
	}
	for _, object := range change.Set {
		if old, ok := s.Objects[object.Key]; ok && old.Equal(object) {
			continue // an unchanged object keeps its revision
		}
		object.Revision = revision
		s.Objects[object.Key] = object
	}
	s.Revision = revision
}

// Compare compares keys by kind, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Equal reports whether two objects have the same key and spec.
func (o Object) Equal(other Object) bool {
	o.Revision, other.Revision = 0, 0
	return reflect.DeepEqual(o.normalized(), other.normalized())
}

// normalized returns the object with an empty list of services replaced by nil, so that both
// compare as equal.
func (o Object) normalized() Object {
	if o.Account != nil && len(o.Account.Services) == 0 {
		account := *o.Account
		account.Services = nil
		o.Account = &account
	}
	return o
}

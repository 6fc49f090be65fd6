package anvilconfig

import "slices"

// Difference is one object that differs between two configurations. Old is nil if the object was
// added, and New is nil if it was deleted.
type Difference struct {
	Key
	Old *Object `json:"old,omitempty"`
	New *Object `json:"new,omitempty"`
}

// Diff returns the objects that differ between two configurations, ordered by kind and name.
func Diff(from, to Snapshot) []Difference {
	var differences []Difference
	for key, object := range from.Objects {
		after, ok := to.Objects[key]
		switch {
		case !ok:
			differences = append(differences, Difference{Key: key, Old: &object})
		case !object.Equal(after):
			differences = append(differences, Difference{Key: key, Old: &object, New: &after})
		}
	}
	for key, object := range to.Objects {
		if _, ok := from.Objects[key]; !ok {
			differences = append(differences, Difference{Key: key, New: &object})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return a.Compare(b.Key) })
	return differences
}

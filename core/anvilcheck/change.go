package anvilcheck

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// assumedName stands in for the id and operator of a change set, which `config apply` adds.
const assumedName = "check"

// Named returns a change set with an id and an operator, which a check records nowhere.
func Named(change anvilconfig.Change) anvilconfig.Change {
	change.ID = cmp.Or(change.ID, assumedName)
	change.Operator = cmp.Or(change.Operator, assumedName)
	return change
}

// Offline checks a change set without knowledge of the configuration in force and of the targets.
// Objects that it refers to or deletes are assumed to exist, and a warning names each of them.
func Offline(change anvilconfig.Change) []Finding {
	change = Named(change)
	current, found := assume(change)
	_, problems := anvilconfig.Check(current, change, func(anvilid.ServiceName) []anvilconfig.Zone { return nil })
	problems = slices.DeleteFunc(problems, func(p anvilconfig.Problem) bool { return p.Code == anvilconfig.CodeNoTargets })
	found = append(found, FromProblems(problems)...)
	found = append(found, lint(current, change, nil)...)
	return found.sorted()
}

// Against checks a change set against the configuration in force and the capacity of the targets.
// Problems are those for which an instance would refuse the change set; it knows the targets best. That
// the change is in force already is a warning only.
func Against(current anvilconfig.Snapshot, change anvilconfig.Change, fleet Fleet, problems []anvilconfig.Problem) []Finding {
	found := list(FromProblems(problems))
	for i := range found {
		// Scripts may check a file again after it was applied.
		if found[i].Code == anvilconfig.CodeNoEffect && len(change.Set) > 0 {
			found[i].Severity = SeverityWarning
		}
	}
	if change.BaseRevision != 0 && change.BaseRevision != current.Revision {
		found.warn(anvilconfig.Key{}, "base", CodeStale,
			"the change is based on revision %d, and revision %d is in force; it is refused unless it is a repetition", change.BaseRevision, current.Revision)
	}
	found = append(found, lint(current, change, fleet)...)
	return found.sorted()
}

// assume returns a configuration with the objects that the change set refers to or deletes and does not
// set itself.
func assume(change anvilconfig.Change) (anvilconfig.Snapshot, list) {
	var found list
	set := map[anvilconfig.Key]bool{}
	for _, object := range change.Set {
		set[object.Key] = true
	}
	current := anvilconfig.NewSnapshot(0)
	add := func(key anvilconfig.Key) bool {
		_, known := current.Objects[key]
		stub, ok := stub(key)
		if known || set[key] || !ok {
			return false
		}
		current.Objects[key] = stub
		return true
	}
	for _, key := range change.Delete {
		add(key)
	}
	for _, object := range change.Set {
		for key, field := range object.References() {
			if add(key) {
				found.warn(object.Key, field, CodeAssumed, "%s %q is not in this file; check with --online whether it exists", key.Kind, key.Name)
			}
		}
	}
	return current, found
}

// stub returns a valid object that stands in for one that is not known, and false for a key without a
// name or of an unknown kind.
func stub(key anvilconfig.Key) (anvilconfig.Object, bool) {
	object := anvilconfig.Object{Key: key}
	switch key.Kind {
	case anvilconfig.KindAccount:
		object.Account = &anvilconfig.Account{Weight: 1}
	case anvilconfig.KindService:
		object.Service = &anvilconfig.Service{Timeout: 1, MaxBody: 1}
	case anvilconfig.KindShape:
		object.Shape = &anvilconfig.Shape{Accelerators: 1, Within: anvilconfig.WithinWorker}
	case anvilconfig.KindGuarantee:
		object.Guarantee = &anvilconfig.Guarantee{}
	default:
		return object, false
	}
	return object, key.Name != ""
}

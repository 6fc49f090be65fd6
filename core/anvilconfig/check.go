package anvilconfig

import (
	"slices"

	"anvilshunt/core/anvilid"
)

// Check reports every problem of a change set in relation to the current configuration. If it finds
// none, the returned placement proves that all guarantees of each service whose demand grows can be
// met at the same time. The demand on a service grows if the change guarantees more, larger or more
// closely placed gangs, or withholds more targets from gangs (ShortOnlyTargets).
//
// A change that does not change the demand on a service, or only lowers it, is not refused because
// of missing targets of that service. Accounts can therefore be edited and guarantees withdrawn
// while targets are down.
func Check(current Snapshot, change Change, inventory Inventory) (Placement, []Problem) {
	c := checker{current: current, change: change, set: map[Key]Object{}, deleted: map[Key]bool{}}
	c.checkHeader()
	c.checkKeys()
	for _, object := range change.Set {
		c.checkSpec(object)
	}
	c.checkParents()
	c.checkServiceAccess()
	c.checkDeletedInUse()
	if len(c.problems) > 0 {
		// Placement requires valid shapes and references.
		return nil, c.problems
	}
	placement := c.placeGuarantees(inventory)
	return placement, c.problems
}

// checker checks the configuration as it would be after the change.
type checker struct {
	current Snapshot
	change  Change
	set     map[Key]Object
	deleted map[Key]bool
	problems
}

// get returns an object of the configuration as it would be after the change, and false if that
// configuration has no such object.
func (c *checker) get(key Key) (Object, bool) {
	if object, ok := c.set[key]; ok {
		return object, true
	}
	if c.deleted[key] {
		return Object{}, false
	}
	object, ok := c.current.Objects[key]
	return object, ok
}

// forEach calls visit for each object of the configuration after the change, in no particular
// order.
func (c *checker) forEach(visit func(Object)) {
	for key, object := range c.current.Objects {
		if _, replaced := c.set[key]; !replaced && !c.deleted[key] {
			visit(object)
		}
	}
	for _, object := range c.set {
		visit(object)
	}
}

func (c *checker) checkHeader() {
	if c.change.ID == "" {
		c.add(Key{}, "id", CodeMissing, "the change has no id; choose a new one and keep it for resends")
	} else if len(c.change.ID) > maxName {
		c.add(Key{}, "id", CodeBadName, "the change id has %d bytes; use at most %d", len(c.change.ID), maxName)
	}
	if c.change.Operator == "" {
		c.add(Key{}, "operator", CodeMissing, "the change names no operator; say who makes it")
	} else if len(c.change.Operator) > maxName {
		c.add(Key{}, "operator", CodeBadName, "the operator name has %d bytes; use at most %d", len(c.change.Operator), maxName)
	}
	if count := len(c.change.Set) + len(c.change.Delete); count > maxObjects {
		c.add(Key{}, "set", CodeTooLarge, "the change has %d objects; split it into changes of at most %d", count, maxObjects)
	}
	if !c.hasEffect() {
		c.add(Key{}, "set", CodeNoEffect, "the change leaves the configuration as it is; set or delete at least one object")
	}
}

func (c *checker) hasEffect() bool {
	return len(c.change.Delete) > 0 || slices.ContainsFunc(c.change.Set, func(object Object) bool {
		old, ok := c.current.Objects[object.Key]
		return !ok || !old.Equal(object)
	})
}

// checkKeys checks the names of the objects and fills c.set and c.deleted.
func (c *checker) checkKeys() {
	for _, object := range c.change.Set {
		if _, doubled := c.set[object.Key]; doubled {
			c.add(object.Key, "name", CodeDuplicate, "the object is set twice; set it once")
			continue
		}
		c.set[object.Key] = object
		c.checkName(object.Key)
	}
	for _, key := range c.change.Delete {
		_, set := c.set[key]
		_, known := c.current.Objects[key]
		switch {
		case c.deleted[key]:
			c.add(key, "name", CodeDuplicate, "the object is deleted twice; delete it once")
		case set:
			c.add(key, "name", CodeDuplicate, "the object is both set and deleted; do one of the two")
		case !known:
			c.add(key, "name", CodeNotFound, "the object doesn't exist, so it can't be deleted; remove it from the change")
		}
		c.deleted[key] = true
	}
}

func (c *checker) checkName(key Key) {
	switch key.Kind {
	case KindAccount, KindGuarantee, KindShape, KindService:
	default:
		c.add(key, "kind", CodeBadKind, "kind %q doesn't exist; use account, guarantee, shape or service", key.Kind)
	}
	if key.Name == "" {
		c.add(key, "name", CodeMissing, "the object has no name; give it one")
	} else if !validName(string(key.Name)) {
		c.add(key, "name", CodeBadName, "the name isn't valid; use 1 to %d characters of a-z 0-9 . _ -", maxName)
	}
}

// maxName is the maximum length of a name in bytes. It is limited because every instance keeps all
// names in memory.
const maxName = 64

func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return name != "" && len(name) <= maxName
}

// checkParents reports accounts that are their own ancestor. Every new cycle of parents contains an
// account of the change set, so only the ancestors of these accounts are checked.
func (c *checker) checkParents() {
	for _, object := range c.change.Set {
		if object.Account == nil {
			continue
		}
		seen := map[anvilid.AccountID]bool{}
		for up := object.Account.Parent; up != "" && !seen[up]; {
			seen[up] = true
			if up == anvilid.AccountID(object.Name) {
				c.add(object.Key, "parent", CodeCircular, "the account is its own ancestor through %q; choose another parent", object.Account.Parent)
				break
			}
			parent, _ := c.get(Key{KindAccount, anvilid.ObjectName(up)})
			if parent.Account == nil {
				break
			}
			up = parent.Account.Parent
		}
	}
}

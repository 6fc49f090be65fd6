package anvilconfig

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Upper limits of values. They keep sums of weights and of placements far below overflow and limit
// the work of a check.
const (
	maxWeight  = 1_000_000
	maxCount   = 10_000
	maxTimeout = anvilclock.Hour
	maxBody    = anvilid.ByteCount(1 << 30)
	maxQueue   = 1_000_000
	maxShort   = 100_000
	// maxObjects is the maximum number of objects in a change set. It is limited because the history
	// of changes stores the names of all of them.
	maxObjects = 5000
	// MaxGangAccelerators is the maximum number of accelerators of one gang.
	MaxGangAccelerators anvilid.AcceleratorCount = 64
)

// checkSpec adds the problems of the spec of one object: a spec that is missing or not of the object's
// kind, fields with invalid values, and references to objects that will not exist after the change.
func (c *checker) checkSpec(object Object) {
	count := 0
	for _, set := range []bool{object.Account != nil, object.Guarantee != nil, object.Shape != nil, object.Service != nil} {
		if set {
			count++
		}
	}
	switch {
	case count > 1:
		c.add(object.Key, "spec", CodeBadValue, "the object has %d specs; give the one of its kind", count)
	case object.Kind == KindAccount && object.Account != nil:
		c.checkAccount(object.Key, object.Account)
	case object.Kind == KindGuarantee && object.Guarantee != nil:
		c.checkGuarantee(object.Key, object.Guarantee)
	case object.Kind == KindShape && object.Shape != nil:
		c.checkShape(object.Key, object.Shape)
	case object.Kind == KindService && object.Service != nil:
		c.checkService(object.Key, object.Service)
	default:
		c.add(object.Key, "spec", CodeMissing, "the object has no spec of its kind; add one")
	}
}

func (c *checker) checkRange(key Key, field string, value, low, high int64) {
	if value < low || value > high {
		c.add(key, field, CodeBadValue, "%s is %d; use %d to %d", field, value, low, high)
	}
}

func (c *checker) checkAccount(key Key, spec *Account) {
	c.checkRange(key, "weight", int64(spec.Weight), 1, maxWeight)
	if spec.Parent != "" {
		c.checkReference(key, "parent", Key{KindAccount, anvilid.ObjectName(spec.Parent)})
	}
	seen := map[anvilid.ServiceName]bool{}
	for _, service := range spec.Services {
		if seen[service] {
			c.add(key, "services", CodeDuplicate, "service %q is listed twice; list it once", service)
			continue
		}
		seen[service] = true
		c.checkReference(key, "services", Key{KindService, anvilid.ObjectName(service)})
	}
}

func (c *checker) checkGuarantee(key Key, spec *Guarantee) {
	c.checkReference(key, "account", Key{KindAccount, anvilid.ObjectName(spec.Account)})
	c.checkReference(key, "service", Key{KindService, anvilid.ObjectName(spec.Service)})
	c.checkReference(key, "shape", Key{KindShape, anvilid.ObjectName(spec.Shape)})
	c.checkRange(key, "count", int64(spec.Count), 1, maxCount)
}

func (c *checker) checkShape(key Key, spec *Shape) {
	c.checkRange(key, "accelerators", int64(spec.Accelerators), 1, int64(MaxGangAccelerators))
	switch spec.Within {
	case WithinWorker, WithinRack, WithinZone:
	default:
		c.add(key, "within", CodeBadValue, "within is %q; use worker, rack or zone", spec.Within)
	}
}

func (c *checker) checkService(key Key, spec *Service) {
	c.checkRange(key, "timeout", int64(spec.Timeout), 1, int64(maxTimeout))
	c.checkRange(key, "body", int64(spec.MaxBody), 1, int64(maxBody))
	c.checkRange(key, "queue", int64(spec.MaxQueue), 0, maxQueue)
	c.checkRange(key, "short", int64(spec.ShortOnlyTargets), 0, maxShort)
	c.checkObjectives(key, spec.Objectives)
}

// checkReference adds a problem to the field of object from if that field refers to object to and object
// to will not exist after the change.
func (c *checker) checkReference(from Key, field string, to Key) {
	if to.Name == "" {
		c.add(from, field, CodeMissing, "%s is missing; name an existing %s", field, to.Kind)
		return
	}
	if _, ok := c.get(to); ok {
		return
	}
	if c.deleted[to] {
		c.add(from, field, CodeDangling, "%s %q is deleted by the same change; keep it or name another one", to.Kind, to.Name)
		return
	}
	c.add(from, field, CodeDangling, "%s %q doesn't exist; add it to the change or name another one", to.Kind, to.Name)
}

package anvilconfig

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Bounds of values. They keep sums of weights and placements far from
// overflow and the work of a check bounded.
const (
	maxWeight  = 1_000_000
	maxCount   = 10_000
	maxTimeout = anvilclock.Hour
	maxBody    = anvilid.ByteCount(1 << 30)
	maxQueue   = 1_000_000
	maxShort   = 100_000
	// maxObjects bounds a change set, whose names the history keeps.
	maxObjects = 5000
	// MaxGangAccelerators is the largest number of accelerators of one gang.
	MaxGangAccelerators anvilid.AcceleratorCount = 64
)

// spec checks the values and the references of one object.
func (c *checker) spec(object Object) {
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
		c.account(object.Key, object.Account)
	case object.Kind == KindGuarantee && object.Guarantee != nil:
		c.guarantee(object.Key, object.Guarantee)
	case object.Kind == KindShape && object.Shape != nil:
		c.shape(object.Key, object.Shape)
	case object.Kind == KindService && object.Service != nil:
		c.service(object.Key, object.Service)
	default:
		c.add(object.Key, "spec", CodeMissing, "the object has no spec of its kind; add one")
	}
}

func (c *checker) between(key Key, field string, value, low, high int64) {
	if value < low || value > high {
		c.add(key, field, CodeBadValue, "%s is %d; use %d to %d", field, value, low, high)
	}
}

func (c *checker) account(key Key, spec *Account) {
	c.between(key, "weight", int64(spec.Weight), 1, maxWeight)
	if spec.Parent != "" {
		c.reference(key, "parent", Key{KindAccount, anvilid.ObjectName(spec.Parent)})
	}
	seen := map[anvilid.ServiceName]bool{}
	for _, service := range spec.Services {
		if seen[service] {
			c.add(key, "services", CodeDuplicate, "service %q is listed twice; list it once", service)
			continue
		}
		seen[service] = true
		c.reference(key, "services", Key{KindService, anvilid.ObjectName(service)})
	}
}

func (c *checker) guarantee(key Key, spec *Guarantee) {
	c.reference(key, "account", Key{KindAccount, anvilid.ObjectName(spec.Account)})
	c.reference(key, "service", Key{KindService, anvilid.ObjectName(spec.Service)})
	c.reference(key, "shape", Key{KindShape, anvilid.ObjectName(spec.Shape)})
	c.between(key, "count", int64(spec.Count), 1, maxCount)
}

func (c *checker) shape(key Key, spec *Shape) {
	c.between(key, "accelerators", int64(spec.Accelerators), 1, int64(MaxGangAccelerators))
	switch spec.Within {
	case WithinWorker, WithinRack, WithinZone:
	default:
		c.add(key, "within", CodeBadValue, "within is %q; use worker, rack or zone", spec.Within)
	}
}

func (c *checker) service(key Key, spec *Service) {
	c.between(key, "timeout", int64(spec.Timeout), 1, int64(maxTimeout))
	c.between(key, "body", int64(spec.MaxBody), 1, int64(maxBody))
	c.between(key, "queue", int64(spec.MaxQueue), 0, maxQueue)
	c.between(key, "short", int64(spec.ShortOnlyTargets), 0, maxShort)
	c.objectives(key, spec.Objectives)
}

// reference checks that an object that another one names will exist.
func (c *checker) reference(from Key, field string, to Key) {
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

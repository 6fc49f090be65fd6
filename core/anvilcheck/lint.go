package anvilcheck

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// linter finds what is valid and still can't work in the configuration after a change.
type linter struct {
	after anvilconfig.Snapshot
	fleet Fleet
	// services are the names of the services in after that the check knows in full.
	services []anvilid.ServiceName
	list
}

// lint returns warnings about the configuration as it would be after the change.
func lint(current anvilconfig.Snapshot, change anvilconfig.Change, fleet Fleet) list {
	l := linter{after: current.Clone(), fleet: fleet}
	l.after.Apply(change, current.Revision+1)
	set := map[anvilconfig.Key]bool{}
	for _, object := range change.Set {
		set[object.Key] = true
	}
	for _, object := range l.after.List() {
		if fleet == nil && !set[object.Key] {
			continue // an offline check knows it as a stub only
		}
		switch {
		case object.Service != nil:
			l.services = append(l.services, anvilid.ServiceName(object.Name))
			l.checkService(object.Key, object.Service)
		case object.Shape != nil:
			l.checkShape(object.Key, object.Shape)
		}
	}
	l.checkAccess()
	l.checkRepeatedGuarantees()
	l.checkFleet()
	return l.list
}

func (l *linter) checkService(key anvilconfig.Key, spec *anvilconfig.Service) {
	if o := spec.Objectives; o != nil && o.Wait != nil && o.Wait.Limit > spec.Timeout {
		l.warn(key, "objectives.wait.limit", CodeConflict,
			"objectives.wait.limit is %d ms and timeout only %d ms, so requests without a timeout of their own end before they miss the objective; lower the limit or raise the timeout",
			o.Wait.Limit, spec.Timeout)
	}
	if l.fleet == nil {
		return
	}
	capacity := l.fleet[anvilid.ServiceName(key.Name)]
	switch {
	case capacity.Targets == 0:
		l.warn(key, "", CodeUnused, "the service has no targets, so its requests and jobs wait; start targets of it")
	case spec.ShortOnlyTargets >= capacity.Targets:
		l.warn(key, "short", CodeConflict, "short keeps %d targets from gangs, and the service has %d, so that no gang ever runs; lower short or add targets",
			spec.ShortOnlyTargets, capacity.Targets)
	}
}

// checkShape reports a shape that fits on the targets of no service.
func (l *linter) checkShape(key anvilconfig.Key, spec *anvilconfig.Shape) {
	if len(l.fleet) == 0 {
		return
	}
	largest := anvilid.AcceleratorCount(0)
	for _, capacity := range l.fleet {
		largest = max(largest, capacity.within(spec.Within))
	}
	if spec.Accelerators > largest {
		l.warn(key, "accelerators", CodeTooBig, "it needs %d accelerators within one %s, and the largest %s has %d; lower the number or add targets",
			spec.Accelerators, spec.Within, spec.Within, largest)
	}
}

func (c Capacity) within(extent anvilconfig.Extent) anvilid.AcceleratorCount {
	switch extent {
	case anvilconfig.WithinWorker:
		return c.LargestTarget
	case anvilconfig.WithinRack:
		return c.LargestRack
	}
	return c.LargestZone
}

// checkAccess reports services that no account may use. A configuration without accounts is one that
// isn't complete yet.
func (l *linter) checkAccess() {
	var accounts []*anvilconfig.Account
	for _, object := range l.after.Objects {
		if object.Account != nil {
			accounts = append(accounts, object.Account)
		}
	}
	for _, service := range l.services {
		mayUse := func(account *anvilconfig.Account) bool { return account.MayUse(service) }
		if len(accounts) > 0 && !slices.ContainsFunc(accounts, mayUse) {
			l.warn(anvilconfig.Key{Kind: anvilconfig.KindService, Name: anvilid.ObjectName(service)}, "", CodeUnused,
				"no account may use the service; add it to the services of an account")
		}
	}
}

// checkRepeatedGuarantees reports guarantees that promise one account the same shape of one service.
func (l *linter) checkRepeatedGuarantees() {
	type promise struct {
		account anvilid.AccountID
		service anvilid.ServiceName
		shape   anvilid.ShapeName
	}
	first := map[promise]anvilid.ObjectName{}
	for _, object := range l.after.List() {
		guarantee := object.Guarantee
		if guarantee == nil || guarantee.Account == "" {
			continue
		}
		same := promise{guarantee.Account, guarantee.Service, guarantee.Shape}
		if other, ok := first[same]; ok {
			l.warn(object.Key, "shape", CodeRepeated, "guarantee %q promises account %q the same shape of the same service, and the counts add up; keep one of the two",
				other, guarantee.Account)
			continue
		}
		first[same] = object.Name
	}
}

// checkFleet reports services whose guarantees exceed their capacity, and targets of services that the
// configuration lacks. Guarantees stay in force when targets leave, so the check of a change set doesn't
// find those that were accepted earlier.
func (l *linter) checkFleet() {
	if l.fleet == nil {
		return
	}
	guaranteed := map[anvilid.ServiceName]anvilid.AcceleratorCount{}
	for _, object := range l.after.Objects {
		if object.Guarantee == nil {
			continue
		}
		if shape := l.after.Shape(object.Guarantee.Shape); shape != nil {
			guaranteed[object.Guarantee.Service] += shape.Accelerators * anvilid.AcceleratorCount(object.Guarantee.Count)
		}
	}
	for _, service := range l.services {
		if capacity := l.fleet[service].Accelerators; guaranteed[service] > capacity {
			l.warn(anvilconfig.Key{Kind: anvilconfig.KindService, Name: anvilid.ObjectName(service)}, "", CodeOvercommit,
				"%d accelerators are guaranteed, and its targets have %d; lower the guarantees or add targets", guaranteed[service], capacity)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(l.fleet)) {
		if l.after.Service(service) == nil {
			l.warn(anvilconfig.Key{Kind: anvilconfig.KindService, Name: anvilid.ObjectName(service)}, "", CodeUnused,
				"targets of it are running (%d), and it isn't configured; add the service or stop the targets", l.fleet[service].Targets)
		}
	}
}

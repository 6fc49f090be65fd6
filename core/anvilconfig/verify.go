package anvilconfig

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilid"
)

// ErrPlacement is returned for a placement that doesn't prove that the guarantees can be met.
var ErrPlacement = errors.New("invalid placement")

// Verify checks a placement of the guarantees of one service independently of how it was found:
// every gang is present, large enough and close enough together, and no accelerator is used twice.
func Verify(placement Placement, snapshot Snapshot, service anvilid.ServiceName, zones []Zone) error {
	v := verifier{targets: map[anvilid.TargetID]*targetUse{}}
	for i, zone := range zones {
		for _, rack := range zone.Racks {
			v.racks++
			for _, target := range rack.Targets {
				v.targets[target.ID] = &targetUse{target: target, rack: v.racks, zone: i}
			}
		}
	}
	found := map[gangID]bool{}
	for _, gang := range placement {
		guarantee := snapshot.Guarantee(gang.Guarantee)
		if guarantee == nil || guarantee.Service != service {
			continue
		}
		if err := v.checkGang(gang, snapshot.Shape(guarantee.Shape)); err != nil {
			return err
		}
		found[gangID{gang.Guarantee, gang.Number}] = true
	}
	for key, object := range snapshot.Objects {
		if object.Guarantee == nil || object.Guarantee.Service != service {
			continue
		}
		for number := range object.Guarantee.Count {
			if !found[gangID{key.Name, number}] {
				return fmt.Errorf("%w: gang %d of guarantee %q is not placed", ErrPlacement, number, key.Name)
			}
		}
	}
	return nil
}

// gangID identifies a guaranteed gang by its guarantee and its number within the guarantee.
type gangID struct {
	guarantee anvilid.ObjectName
	number    int
}

// targetUse is a target and the accelerators of it that the placement uses.
type targetUse struct {
	target Target
	// rack and zone are the numbers of the target's rack, among the racks of all zones, and of its zone,
	// both in the order of the inventory.
	rack, zone int
	// used has an element for each accelerator, which is true if it is allocated to a gang so far.
	used []bool
}

type verifier struct {
	targets map[anvilid.TargetID]*targetUse
	racks   int
}

func (v *verifier) checkGang(gang Gang, shape *Shape) error {
	fail := func(format string, args ...any) error {
		return fmt.Errorf("%w: gang %d of guarantee %q: %s", ErrPlacement, gang.Number, gang.Guarantee, fmt.Sprintf(format, args...))
	}
	if len(gang.Parts) == 0 {
		return fail("it has no accelerators")
	}
	if shape.Within == WithinWorker && len(gang.Parts) > 1 {
		return fail("it spans %d targets but must stay on one", len(gang.Parts))
	}
	total := anvilid.AcceleratorCount(0)
	first := v.targets[gang.Parts[0].Target]
	for _, part := range gang.Parts {
		at, ok := v.targets[part.Target]
		if !ok || part.First < 0 || part.Accelerators < 1 || part.First+part.Accelerators > at.target.Accelerators {
			return fail("target %q has no accelerators %d to %d", part.Target, part.First, part.First+part.Accelerators-1)
		}
		if shape.Within == WithinRack && at.rack != first.rack || at.zone != first.zone {
			return fail("target %q is not in the same %s as the gang's first target", part.Target, shape.Within)
		}
		if at.used == nil {
			at.used = make([]bool, at.target.Accelerators)
		}
		for i := part.First; i < part.First+part.Accelerators; i++ {
			if at.used[i] {
				return fail("accelerator %d of target %q is used twice", i, part.Target)
			}
			at.used[i] = true
		}
		total += part.Accelerators
	}
	if total < shape.Accelerators {
		return fail("it has %d of %d accelerators", total, shape.Accelerators)
	}
	return nil
}

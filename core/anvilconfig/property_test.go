package anvilconfig

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"anvilshunt/core/anvilid"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the random seed, so that a failure can be reproduced.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	// rapid writes no file for a failure, because the file would remain in the source tree. The seed
	// is enough to reproduce the failure.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func drawZones(t *rapid.T, sizes ...int) []Zone {
	var zones []Zone
	count := 0
	for z := range rapid.IntRange(0, 3).Draw(t, "zones") {
		zone := Zone{Name: anvilid.ZoneName(fmt.Sprint("z", z))}
		for r := range rapid.IntRange(1, 3).Draw(t, "racks") {
			rack := Rack{Name: anvilid.RackName(fmt.Sprint("r", r))}
			for range rapid.IntRange(1, 4).Draw(t, "targets") {
				count++
				size := rapid.SampledFrom(sizes).Draw(t, "size")
				rack.Targets = append(rack.Targets, Target{ID: anvilid.TargetID(fmt.Sprint("t", count)), Accelerators: anvilid.AcceleratorCount(size)})
			}
			zone.Racks = append(zone.Racks, rack)
		}
		zones = append(zones, zone)
	}
	return zones
}

// drawGuarantees returns a configuration and a change that adds guarantees of randomly drawn shapes
// to it.
func drawGuarantees(t *rapid.T, sizes []int, extents []Extent) (Snapshot, Change) {
	base := NewSnapshot(1,
		Object{Key: Key{KindAccount, "a"}, Account: &Account{Weight: 1}},
		Object{Key: Key{KindService, "s"}, Service: &Service{Timeout: 1, MaxBody: 1}})
	change := Change{ID: "c", Operator: "o", BaseRevision: 1}
	for i := range rapid.IntRange(1, 5).Draw(t, "guarantees") {
		name := fmt.Sprint("g", i)
		change.Set = append(change.Set,
			Object{Key: Key{KindShape, anvilid.ObjectName(name)}, Shape: &Shape{
				Accelerators: anvilid.AcceleratorCount(rapid.SampledFrom(sizes).Draw(t, "size")),
				Within:       rapid.SampledFrom(extents).Draw(t, "within"),
			}},
			Object{Key: Key{KindGuarantee, anvilid.ObjectName(name)}, Guarantee: &Guarantee{
				Account: "a", Service: "s", Shape: anvilid.ShapeName(name), Count: rapid.IntRange(1, 6).Draw(t, "count"),
			}})
	}
	return base, change
}

// Guards against guarantees that are accepted although they cannot all be met at the same time.
func TestAcceptedGuaranteesArePlaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t, 0, 1, 2, 4, 5, 6, 8, 8, 8, 12)
		sizes := []int{1, 2, 3, 4, 6, 7, 8, 9, 12, 16, 20, 24, 32}
		base, change := drawGuarantees(t, sizes, []Extent{WithinWorker, WithinRack, WithinZone})
		placement, problems := Check(base, change, FixedInventory(map[anvilid.ServiceName][]Zone{"s": zones}))
		for _, problem := range problems {
			if problem.Code == CodeFault {
				t.Fatal(problem)
			}
		}
		if len(problems) > 0 {
			return
		}
		base.Apply(change, 2)
		assert.NilError(t, Verify(placement, base, "s", zones))
		checkVerifierRejects(t, placement, base, zones)
	})
}

// checkVerifierRejects makes a valid placement invalid in several ways and checks that Verify
// returns an error each time.
func checkVerifierRejects(t *rapid.T, placement Placement, snapshot Snapshot, zones []Zone) {
	gang := rapid.IntRange(0, len(placement)-1).Draw(t, "gang")
	broken := slices.Clone(placement)
	broken = slices.Delete(broken, gang, gang+1)
	assert.Assert(t, errors.Is(Verify(broken, snapshot, "s", zones), ErrPlacement), "a gang is missing")
	broken = append(slices.Clone(placement), placement[gang])
	assert.Assert(t, errors.Is(Verify(broken, snapshot, "s", zones), ErrPlacement), "accelerators are used twice")
	broken = slices.Clone(placement)
	broken[gang].Parts = nil
	assert.Assert(t, errors.Is(Verify(broken, snapshot, "s", zones), ErrPlacement), "a gang is empty")
	broken[gang].Parts = slices.Clone(placement[gang].Parts)
	broken[gang].Parts[0].First += 64
	assert.Assert(t, errors.Is(Verify(broken, snapshot, "s", zones), ErrPlacement), "accelerators don't exist")
	broken[gang].Parts[0] = Part{Target: placement[gang].Parts[0].Target, Accelerators: 1}
	if shape := snapshot.Shape(anvilid.ShapeName(placement[gang].Guarantee)); len(broken[gang].Parts) == 1 && shape.Accelerators > 1 {
		assert.Assert(t, errors.Is(Verify(broken, snapshot, "s", zones), ErrPlacement), "a gang is too small")
	}
}

// Guards against guarantees that are refused although they fit: blocks whose sizes are powers of
// two fill targets of equal size without waste.
func TestPowersOfTwoFillTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t, 8)
		base, change := drawGuarantees(t, []int{1, 2, 4, 8}, []Extent{WithinWorker})
		_, problems := Check(base, change, FixedInventory(map[anvilid.ServiceName][]Zone{"s": zones}))
		base.Apply(change, 2)
		wanted := anvilid.AcceleratorCount(0)
		for _, object := range base.Objects {
			if object.Guarantee != nil {
				wanted += base.Shape(object.Guarantee.Shape).Accelerators * anvilid.AcceleratorCount(object.Guarantee.Count)
			}
		}
		assert.Equal(t, wanted <= newPacker(zones).totalFree(), len(problems) == 0, "%d wanted, problems %v", wanted, problems)
	})
}

// Guards against gangs that extend beyond the target, rack or zone that they must stay within.
func TestVerifyExtents(t *testing.T) {
	zones := []Zone{
		{Name: "z1", Racks: []Rack{{Name: "a", Targets: []Target{{"t1", 8}, {"t2", 8}}}, {Name: "b", Targets: []Target{{"t3", 8}}}}},
		{Name: "z2", Racks: []Rack{{Name: "a", Targets: []Target{{"t4", 8}}}}},
	}
	for _, test := range []struct {
		within Extent
		second anvilid.TargetID
		valid  bool
	}{
		{WithinWorker, "t2", false},
		{WithinRack, "t2", true},
		{WithinRack, "t3", false},
		{WithinZone, "t3", true},
		{WithinZone, "t4", false},
		{WithinZone, "t5", false},
	} {
		snapshot := NewSnapshot(1,
			Object{Key: Key{KindShape, "x"}, Shape: &Shape{16, test.within}},
			Object{Key: Key{KindGuarantee, "g"}, Guarantee: &Guarantee{"a", "s", "x", 1}})
		placement := Placement{{"g", 0, []Part{{"t1", 0, 8}, {test.second, 0, 8}}}}
		assert.Equal(t, Verify(placement, snapshot, "s", zones) == nil, test.valid, "%v", test)
	}
}

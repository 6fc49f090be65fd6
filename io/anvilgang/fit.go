package anvilgang

import (
	"cmp"
	"fmt"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

// FirstFit places a job on the first group of adjacent targets that has room:
// on part of one target if it fits there, the fullest first, else on whole
// free targets. It is the baseline for the planner of package anvilplan.
func FirstFit(job anvilstate.Job, targets []anvilstate.Target) ([]anvilstate.Member, string) {
	groups := map[string][]anvilstate.Target{}
	var order []string
	free := anvilid.AcceleratorCount(0)
	for _, target := range targets {
		if target.Service != job.Service || target.Leaving || target.Owner == "" {
			continue
		}
		name := groupOf(job.Within, target)
		if groups[name] == nil {
			order = append(order, name)
		}
		groups[name] = append(groups[name], target)
		free += freeOf(target)
	}
	for _, name := range order {
		if members := fitGroup(job.Accelerators, groups[name]); members != nil {
			return members, ""
		}
	}
	return nil, fmt.Sprintf("needs %d adjacent accelerators within one %s; %d are free in all", job.Accelerators, job.Within, free)
}

func groupOf(within anvilconfig.Extent, target anvilstate.Target) string {
	switch within {
	case anvilconfig.WithinWorker:
		return string(target.ID)
	case anvilconfig.WithinRack:
		return string(target.Region) + "/" + string(target.Zone) + "/" + string(target.Rack)
	}
	return string(target.Region) + "/" + string(target.Zone)
}

func freeOf(target anvilstate.Target) anvilid.AcceleratorCount {
	return target.Accelerators - anvilid.AcceleratorCount(target.Reserved)
}

func fitGroup(needed anvilid.AcceleratorCount, targets []anvilstate.Target) []anvilstate.Member {
	slices.SortStableFunc(targets, func(a, b anvilstate.Target) int { return cmp.Compare(freeOf(a), freeOf(b)) })
	for _, target := range targets {
		if freeOf(target) >= needed {
			return []anvilstate.Member{memberOn(target, needed)}
		}
	}
	var members []anvilstate.Member
	for _, target := range slices.Backward(targets) {
		if needed == 0 {
			break
		}
		if target.Reserved > 0 || target.Accelerators == 0 {
			continue
		}
		part := min(needed, target.Accelerators)
		members = append(members, memberOn(target, part))
		needed -= part
	}
	if needed > 0 {
		return nil
	}
	return members
}

func memberOn(target anvilstate.Target, accelerators anvilid.AcceleratorCount) anvilstate.Member {
	return anvilstate.Member{Target: target.ID, Incarnation: target.Incarnation, Accelerators: accelerators}
}

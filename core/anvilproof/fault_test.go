package anvilproof_test

import (
	"slices"

	"anvilshunt/core/anvilraft"
)

// fault is a disturbance that lasts until a time.
type fault struct {
	until int64
	heal  func()
}

// disturb draws faults in pairs, so that each pair begins at the same time,
// and ends those that have lasted long enough.
func (w *world) disturb() {
	w.faults = slices.DeleteFunc(w.faults, func(f *fault) bool {
		if f.until > w.now {
			return false
		}
		f.heal()
		return true
	})
	if len(w.faults) == 0 && w.chance(2) {
		for range 2 {
			w.fault(w.processes[w.random.IntN(processCount)])
		}
	}
}

func (w *world) fault(p *process) {
	heal := func() {}
	switch w.random.IntN(7) {
	case 0:
		p.kill()
		heal = p.start
	case 1:
		heal = p.wake
		p.frozen = p.up
	case 2:
		w.isolate(p, true, true)
		heal = func() { clear(w.cut) }
	case 3:
		w.isolate(p, true, false)
		heal = func() { clear(w.cut) }
	case 4:
		w.isolate(p, false, true)
		heal = func() { clear(w.cut) }
	case 5:
		p.kill()
		if w.lost == nil && p.disk != nil {
			w.lost = p
			w.counts.disks++
			p.disk = &anvilraft.PersistentState{Storage: p.disk.Storage + "+"}
		}
		heal = p.start
	case 6:
		p.slow = 50*millisecond + w.random.Int64N(300*millisecond)
		heal = func() { p.slow = 0 }
	}
	// From less than an election to longer than a lease and its margin.
	w.faults = append(w.faults, &fault{w.now + 100*millisecond + w.random.Int64N(2500*millisecond), heal})
}

// isolate cuts what a process sends, what it receives, or both.
func (w *world) isolate(p *process, sends, receives bool) {
	for other := range processCount {
		if sends {
			w.cut[[2]int{p.number, other}] = true
		}
		if receives {
			w.cut[[2]int{other, p.number}] = true
		}
	}
}

// settle ends all faults.
func (w *world) settle() {
	w.calm = true
	clear(w.cut)
	for _, f := range w.faults {
		f.heal()
	}
	w.faults = nil
}

// repair is the operator that makes the data directory of an instance that
// lost its disk a new voter.
func (w *world) repair() {
	if w.lost == nil || w.now%(20*millisecond) != 0 {
		return
	}
	for _, leader := range w.processes[:voterCount] {
		if !leader.up || leader.frozen || !leader.node.HasQuorum(leader.clock()) {
			continue
		}
		w.repairAt(leader)
		return
	}
}

func (w *world) repairAt(leader *process) {
	id := anvilraft.VoterID{Instance: w.lost.id, Storage: w.lost.disk.Storage}
	members := leader.node.Status().Members
	former := slices.IndexFunc(members.Voters, func(v anvilraft.VoterID) bool { return v.Instance == id.Instance && v != id })
	change := anvilraft.ChangeVoters{Key: w.next()}
	switch {
	case members.IsVoter(id):
		if leader.applied >= leader.membersAt {
			w.lost = nil
		}
		return
	case !members.Contains(id):
		change.AddLearner = id
	case former >= 0:
		change.Remove = members.Voters[former]
	default:
		change.AddVoter = id
	}
	leader.step(change)
}

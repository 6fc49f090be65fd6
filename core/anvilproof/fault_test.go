package anvilproof_test

import (
	"slices"

	"anvilshunt/core/anvilraft"
)

// fault is an injected fault that lasts until a given time, when heal is called to end it.
type fault struct {
	until int64
	heal  func()
}

// injectFaults starts random faults in pairs, so that both begin at the same time, and ends
// the faults whose time is over.
func (w *world) injectFaults() {
	w.faults = slices.DeleteFunc(w.faults, func(f *fault) bool {
		if f.until > w.now {
			return false
		}
		f.heal()
		return true
	})
	if len(w.faults) == 0 && w.chance(2) {
		for range 2 {
			w.injectFault(w.processes[w.random.IntN(processCount)])
		}
	}
}

func (w *world) injectFault(p *process) {
	heal := func() {}
	switch w.random.IntN(7) {
	case 0:
		p.kill()
		heal = p.start
	case 1:
		heal = p.unfreeze
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
		if w.lostDisk == nil && p.disk != nil {
			w.lostDisk = p
			w.counts.disks++
			p.disk = &anvilraft.PersistentState{Storage: p.disk.Storage + "+"}
		}
		heal = p.start
	case 6:
		p.sendDelay = 50*millisecond + w.random.Int64N(300*millisecond)
		heal = func() { p.sendDelay = 0 }
	}
	// The duration of a fault ranges from less than an election to more than a lease with its
	// margin for clock rates.
	w.faults = append(w.faults, &fault{w.now + 100*millisecond + w.random.Int64N(2500*millisecond), heal})
}

// isolate drops the messages that a process sends, those that it receives, or both.
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

// endFaults ends all faults.
func (w *world) endFaults() {
	w.faultsOff = true
	clear(w.cut)
	for _, f := range w.faults {
		f.heal()
	}
	w.faults = nil
}

// replaceLostVoter makes an instance that lost its disk a voter again under the id of its new
// data directory, as an operator would.
func (w *world) replaceLostVoter() {
	if w.lostDisk == nil || w.now%(20*millisecond) != 0 {
		return
	}
	for _, leader := range w.processes[:voterCount] {
		if !leader.up || leader.frozen || !leader.node.HasQuorum(leader.clock()) {
			continue
		}
		w.replaceVoterAt(leader)
		return
	}
}

func (w *world) replaceVoterAt(leader *process) {
	id := anvilraft.VoterID{Instance: w.lostDisk.id, Storage: w.lostDisk.disk.Storage}
	members := leader.node.Status().Members
	former := slices.IndexFunc(members.Voters, func(v anvilraft.VoterID) bool { return v.Instance == id.Instance && v != id })
	change := anvilraft.ChangeVoters{Key: w.nextNumber()}
	switch {
	case members.IsVoter(id):
		if leader.applied >= leader.membersAt {
			w.lostDisk = nil
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

package anvilraft

import (
	"flag"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// fullMemberAfter is how long a voter counts as lost after its start (catch_up_s). Others may lose their storages then, whether it has
// its vote or not.
const fullMemberAfter = 4 * anvilclock.Second

var seriesSync = flag.Int64("series.sync", 400, "longest sync of TestLossSeries, in ms")

// maxAskingTime is how long a voter without a vote takes to find the leader and to ask it for membership.
const maxAskingTime = 350 * anvilclock.Millisecond

// series lets voters lose their storages one after the other, as soon as no more than the group bears are lost or not yet full members
// again, while each sync takes up to maxSync, and in half of the series at least half of that. Between them the rest runs on, is
// killed, or loses power too.
type series struct {
	*schedule
	maxSync anvilclock.Millis
	minSync int64 // in microseconds
	disks   map[*voter]*seriesDisk
}

// seriesDisk is the disk of one voter and the times of its process. It makes one sync at a time. What is written meanwhile waits for the next one.
type seriesDisk struct {
	syncing         int   // Saves in the sync that is in progress
	doneAt          int64 // when it ends
	startAt, fullAt int64 // when the process starts again, and when its voter is a full member again
}

// lossSeries carries out a number of losses.
func (s *schedule) lossSeries(losses int, maxSync anvilclock.Millis) {
	r := &series{schedule: s, maxSync: maxSync, disks: map[*voter]*seriesDisk{}}
	for _, v := range s.c.voters {
		r.disks[v] = &seriesDisk{}
	}
	r.inSeries, r.askedAt = true, map[joinRequest]int64{}
	if s.c.random.IntN(2) == 0 {
		r.minSync = int64(maxSync) * 500
	}
	r.run(3 * anvilclock.Second)
	for range losses {
		for r.room() == 0 {
			r.run(10)
		}
		r.run(anvilclock.Millis(s.c.random.IntN(400)))
		r.lose(1 + s.c.random.IntN(r.room()))
	}
	r.run(fullMemberAfter)
}

func (r *series) run(span anvilclock.Millis) {
	for range span {
		r.c.now += 1000
		r.c.deliver()
		for _, v := range r.c.voters {
			r.runVoter(v)
		}
		if r.c.leader() == nil && r.chance(3) { // as often as anvilgroup asks for storages
			r.reportLostStorages()
		}
		if r.chance(50) {
			r.repair()
		}
		r.runClients()
	}
}

func (r *series) runVoter(v *voter) {
	disk := r.disks[v]
	if v.node == nil {
		if r.c.now >= disk.startAt {
			r.newClock(v)
			r.c.start(v)
		}
		return
	}
	if r.chance(200) {
		r.c.tick(v)
	}
	if r.chance(2) {
		r.c.step(v, Compact{v.applied, snapshotData(v.state, 400)})
	}
	if disk.syncing > 0 && r.c.now >= disk.doneAt {
		done := disk.syncing
		disk.syncing = 0
		r.c.sync(v, done)
	}
	if disk.syncing == 0 && len(v.unsynced) > 0 {
		longest := int64(r.maxSync) * 1000
		disk.syncing, disk.doneAt = len(v.unsynced), r.c.now+r.minSync+r.c.random.Int64N(longest-r.minSync)
	}
}

// joinRequest is a request for membership of a storage to the leader of a term.
type joinRequest struct {
	id   VoterID
	term anvilid.Term
}

// hasAsked reports whether a voter without a vote has asked a leader for membership, which takes it up to maxAskingTime.
func (s *schedule) hasAsked(v, leader *voter) bool {
	if v.node == nil {
		return false
	}
	request := joinRequest{v.id, leader.node.hardState.Term}
	if _, ok := s.askedAt[request]; !ok {
		s.askedAt[request] = s.c.now + s.c.random.Int64N(int64(maxAskingTime)*1000)
	}
	return s.c.now >= s.askedAt[request]
}

// room returns how many further voters may be lost.
func (r *series) room() int {
	room := r.maxLostDisks
	for _, v := range r.c.voters {
		if v.node == nil || r.c.now < r.disks[v].fullAt {
			room--
		}
	}
	return max(0, room)
}

// lose lets a number of full members lose their storages, the leader among them half of the time.
func (r *series) lose(count int) {
	const runsOn, killed, losesPower = 0, 1, 2
	rest := []int{runsOn, runsOn, killed, losesPower}[r.c.random.IntN(4)]
	order := r.c.random.Perm(len(r.c.voters))
	if leader := slices.Index(r.c.voters, r.c.leader()); leader >= 0 && r.chance(500) {
		order = append([]int{leader}, order...)
	}
	var lost []VoterID
	for _, i := range order {
		v := r.c.voters[i]
		isFull := v.node != nil && r.c.now >= r.disks[v].fullAt // the leader isn't any more when its turn comes again
		switch {
		case isFull && len(lost) < count:
			lost = append(lost, v.id)
			r.stop(v, 0)
			r.c.wipe(v)
			r.lostDisks = append(slices.DeleteFunc(r.lostDisks, func(other *voter) bool { return other == v }), v)
			r.wipedDisks++
		case v.node != nil && rest == killed:
			r.stop(v, len(v.unsynced))
		case v.node != nil && rest == losesPower:
			r.stop(v, 0)
		}
	}
	r.c.Logf("%d ms: %v lose their storages, the rest: %d (0 runs on, 1 is killed, 2 loses power)", r.c.now/1000, lost, rest)
}

// stop ends a process, which is started again within a second.
func (r *series) stop(v *voter, written int) {
	r.c.crash(v, written)
	startAt := r.c.now + 50_000 + r.c.random.Int64N(850_000)
	*r.disks[v] = seriesDisk{startAt: startAt, fullAt: startAt + int64(fullMemberAfter)*1000}
}

// logVoters writes what each voter knows, for a schedule that fails.
func (s *schedule) logVoters() {
	for _, v := range s.c.voters {
		if v.node != nil {
			status := v.node.Status()
			s.c.Logf("%v: term %d, log %d..%d, commit %d, list %d: %v, lost %v", v.id, status.Term, status.Base, status.Last, status.Commit,
				status.MembersAt, status.Members.Voters, status.Members.Lost)
		}
	}
}

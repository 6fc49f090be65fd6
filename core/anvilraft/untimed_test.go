package anvilraft

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

var untimedSeeds = flag.Uint64("untimed.seeds", 2000, "number of seeds of TestUntimedReplacements")

// untimed drives a cluster without regard to time: messages arrive in any order or never, elections begin at any moment, and
// leaders of earlier terms go on. The storages that were replaced go on too, which is the worst case of a lost storage whose votes
// and acknowledgements are still under way. Leases depend on time, so they aren't checked.
type untimed struct {
	c    *cluster
	size int
	key  uint64
	// storages is the number of storages that each instance has had.
	storages map[anvilid.InstanceID]int
	// changesSize means that voters are also added and removed, so that their number is even at times.
	changesSize bool
	contesting  bool // within contest
	// namesOften means that most marks name successors, which others replace, and that these decide most elections.
	namesOften bool
	// named are the storages that marks have named, and seated those that leaders have tried to seat.
	named, seated map[VoterID]bool
	// seats is the number of seats that were appended.
	seats int
}

func (u *untimed) chance(percent int) bool { return u.c.random.IntN(100) < percent }

func (u *untimed) pick() *voter { return u.c.voters[u.c.random.IntN(len(u.c.voters))] }

func (u *untimed) byID(id VoterID) *voter {
	for _, v := range u.c.voters {
		if v.id == id {
			return v
		}
	}
	return nil
}

// step passes an event to a voter and syncs its disk, mostly at once.
func (u *untimed) step(v *voter, event Event) {
	if v.node == nil {
		return
	}
	u.c.step(v, event)
	if u.chance(95) {
		u.c.sync(v, len(v.unsynced))
	}
}

// deliver passes on the messages that are chosen, and the answers to them that are chosen as well.
func (u *untimed) deliver(chosen func(Message) bool) {
	for range 200 {
		found := -1
		for i, p := range u.c.packets {
			if chosen(p.message) {
				found = i
				break
			}
		}
		if found < 0 {
			return
		}
		u.receive(found)
	}
}

// receive delivers one message. A voter that is asked for its vote has not heard of a leader for long.
func (u *untimed) receive(i int) {
	m := u.c.packets[i].message
	u.c.packets = append(u.c.packets[:i:i], u.c.packets[i+1:]...)
	v := u.byID(m.To)
	if v == nil || v.node == nil {
		return
	}
	if (m.Type == MessagePreVote || m.Type == MessageVote) && v.role != Leader {
		v.clockOffset += 1_000_000
	}
	u.step(v, Receive{m})
}

// someOthers returns a random set of storages with the given one.
func (u *untimed) someOthers(v *voter, percent int) map[VoterID]bool {
	set := map[VoterID]bool{v.id: true}
	for _, other := range u.c.voters {
		if u.chance(percent) {
			set[other.id] = true
		}
	}
	return set
}

// campaign lets a voter ask some others for their votes. Some of the votes are delayed. It may take some of them for lost
// although they go on, which only makes it mark them: in odd numbers of voters a loss itself changes no quorum.
func (u *untimed) campaign(v *voter) {
	if v.node == nil || v.role == Leader {
		return
	}
	for _, id := range v.node.Electors() {
		if !u.changesSize && u.size%2 == 1 && u.chance(10) {
			u.step(v, StorageLost{Voter: id})
		}
	}
	set := u.someOthers(v, 60)
	if u.namesOften && u.chance(60) {
		set = u.withSuccessors(v)
	}
	u.campaignAmong(v, set, 70)
}

// withSuccessors returns a voter with the successors that its log names, all storages that were named before, and few others.
func (u *untimed) withSuccessors(v *voter) map[VoterID]bool {
	set := u.someOthers(v, 25)
	for _, change := range v.node.members.changes {
		for _, id := range change.members.Successors {
			set[id] = true
		}
	}
	return set
}

// formerName returns a storage of an instance that was named before and never seated, or nil.
func (u *untimed) formerName(instance anvilid.InstanceID) *voter {
	for _, i := range u.c.random.Perm(len(u.c.voters)) {
		other := u.c.voters[i]
		if other.id.Instance == instance && u.named[other.id] && !u.seated[other.id] {
			return other
		}
	}
	return nil
}

// campaignAmong lets a voter ask a set of others for their votes. The given part of the votes isn't delayed.
func (u *untimed) campaignAmong(v *voter, set map[VoterID]bool, percent int) {
	if v.node == nil || v.role == Leader {
		return
	}
	v.clockOffset += 1_000_000
	u.step(v, Tick{})
	u.c.sync(v, len(v.unsynced))
	u.deliver(func(m Message) bool {
		return (m.Type == MessagePreVote || m.Type == MessagePreVoteResponse) && set[m.From] && set[m.To]
	})
	u.deliver(func(m Message) bool { return m.Type == MessageVote && set[m.From] && set[m.To] })
	prompt := u.someOthers(v, percent)
	u.deliver(func(m Message) bool { return m.Type == MessageVoteResponse && m.To == v.id && prompt[m.From] })
}

// contest lets one of the voters that lack the last entry of a leader be elected without those that have it, and replicate entries of
// its own to few. The first leader then asks those that have its entry, and some others, for their votes.
func (u *untimed) contest(first *voter) {
	last, term := first.node.log.last(), first.node.log.lastTerm()
	have, lack := map[VoterID]bool{first.id: true}, map[VoterID]bool{}
	for _, other := range u.c.voters {
		has := other.node != nil && other.node.log.matches(last, term)
		have[other.id], lack[other.id] = has || u.chance(40), !has
	}
	for _, i := range u.c.random.Perm(len(u.c.voters)) {
		second := u.c.voters[i]
		if !lack[second.id] || second.node == nil {
			continue
		}
		u.campaignAmong(second, lack, 100)
		if second.role != Leader {
			continue
		}
		for range 1 + u.c.random.IntN(4) {
			u.replicate(second, []int{10, 30, 60}[u.c.random.IntN(3)])
			if second.node != nil && second.role == Leader && u.chance(60) {
				u.seat(second)
			}
		}
		break
	}
	if first.node != nil && first.role == Leader { // it loses its quorum
		first.clockOffset += 1_000_000
		u.step(first, Tick{})
	}
	for range 1 + u.c.random.IntN(3) {
		u.campaignAmong(first, have, 90)
	}
}

// replicate delivers what a leader sends to some others, and their answers.
func (u *untimed) replicate(v *voter, percent int) {
	set := u.someOthers(v, percent)
	fromOrTo := func(m Message) bool {
		return m.From == v.id && m.fromLeader() || m.To == v.id && m.Type == MessageAppendResponse
	}
	u.deliver(func(m Message) bool { return fromOrTo(m) && set[m.From] && set[m.To] })
}

// newStorage gives an instance another storage, beside the former ones.
func (u *untimed) newStorage(instance anvilid.InstanceID) *voter {
	u.storages[instance]++
	v := u.c.add(string(instance))
	v.id.Storage = StorageID(fmt.Sprint(u.storages[instance] + 1))
	v.disk.Storage = v.id.Storage
	v.clockOffset = 1_000_000
	u.c.start(v)
	return v
}

// join gives an instance another storage, which a leader sends its log.
func (u *untimed) join(leader *voter, instance anvilid.InstanceID) *voter {
	joining := u.newStorage(instance)
	u.sendLog(leader, joining.id)
	return joining
}

// sendLog lets a leader send its log to a storage. Mostly all of it arrives.
func (u *untimed) sendLog(leader *voter, to VoterID) {
	u.step(leader, SendLog{To: to, Empty: true})
	percent := []int{30, 100, 100}[u.c.random.IntN(3)]
	u.deliver(func(m Message) bool {
		return (m.From == leader.id && m.To == to || m.To == leader.id && m.From == to) && u.chance(percent)
	})
}

// mark lets a leader mark voters, as many as leave it a quorum. Most marks name a successor, and some a second one.
func (u *untimed) mark(v *voter) {
	members := v.node.Status().Members
	change := ChangeVoters{Key: u.nextKey()}
	for _, i := range u.c.random.Perm(len(members.Voters)) {
		id := members.Voters[i]
		room := len(members.Voters) - members.Quorum() - len(members.Lost) - len(change.Lost)
		isOpen := !members.IsLost(id) && room > 0 && (len(change.Lost) == 0 || u.chance(40))
		again := 20
		if u.namesOften {
			again = 50
		}
		isNamedAgain := members.IsLost(id) && u.chance(again)
		if id == v.id || !isOpen && !isNamedAgain {
			continue
		}
		change.Lost = append(change.Lost, id)
		if isNamedAgain || u.chance(60) {
			successor := u.formerName(id.Instance)
			if successor == nil || !u.namesOften || u.chance(60) {
				successor = u.join(v, id.Instance)
			}
			u.named[successor.id] = true
			change.Successors = append(change.Successors, successor.id)
		}
	}
	if len(change.Lost) > 0 {
		u.step(v, change)
	}
}

// takeMarkBack lets a leader take back the mark of a voter, which was alive all the time.
func (u *untimed) takeMarkBack(v *voter) {
	if lost := v.node.Status().Members.Lost; len(lost) > 0 {
		u.step(v, ChangeVoters{Key: u.nextKey(), Found: []VoterID{lost[u.c.random.IntN(len(lost))]}})
	}
}

// seat lets a leader replace voters, which are mostly marked.
func (u *untimed) seat(v *voter) {
	members := v.node.Status().Members
	change := ChangeVoters{Key: u.nextKey()}
	unmarked := u.chance(30)
	for _, i := range u.c.random.Perm(len(members.Voters)) {
		id := members.Voters[i]
		if id == v.id || len(change.Seat) == (u.size-1)/2 || !members.IsLost(id) && !unmarked || !u.chance(60) {
			continue
		}
		joining, named := members.Successor(id)
		if !named || u.chance(10) {
			joining = u.join(v, id.Instance).id
		} else {
			u.sendLog(v, joining)
		}
		change.Seat = append(change.Seat, joining)
		u.seated[joining] = true
	}
	if len(change.Seat) == 0 {
		return
	}
	if u.changesSize && len(members.Voters) > 3 && u.chance(20) {
		change.Remove = members.Voters[u.c.random.IntN(len(members.Voters))]
	}
	if u.chance(20) { // an instance at another address takes the place of a marked voter
		for _, id := range members.Lost {
			if change.Remove.IsZero() && !slices.ContainsFunc(change.Seat, func(seat VoterID) bool { return seat.Instance == id.Instance }) {
				joining := u.join(v, anvilid.InstanceID(fmt.Sprint("x", u.nextKey())))
				change.Seat, change.Remove = append(change.Seat, joining.id), id
			}
		}
	}
	before := v.node.log.last()
	u.step(v, change)
	if v.node.log.last() > before {
		u.seats++
		for _, id := range change.Seat {
			if u.chance(70) {
				u.deliver(func(m Message) bool { return m.From == v.id && m.To == id })
			}
		}
		if !u.contesting && u.chance(40) {
			u.contesting = true
			u.contest(v)
			u.contesting = false
		}
	}
}

// changeSize lets a leader add a voter of another instance or remove one.
func (u *untimed) changeSize(v *voter) {
	members := v.node.Status().Members
	if len(members.Voters) >= u.size {
		id := members.Voters[u.c.random.IntN(len(members.Voters))]
		if id != v.id {
			u.step(v, ChangeVoters{Key: u.nextKey(), Remove: id})
		}
		return
	}
	joining := u.join(v, anvilid.InstanceID(fmt.Sprint("x", u.nextKey())))
	u.step(v, ChangeVoters{Key: u.nextKey(), Seat: []VoterID{joining.id}})
}

func (u *untimed) nextKey() uint64 {
	u.key++
	return u.key
}

// act performs one random action.
func (u *untimed) act() {
	v := u.pick()
	if u.chance(60) { // storages that are no voters any more have less to do
		members := v.disk
		if latest, err := members.Members(); err == nil && len(latest.Voters) > 0 {
			if other := u.byID(latest.Voters[u.c.random.IntN(len(latest.Voters))]); other != nil {
				v = other
			}
		}
	}
	if v.node == nil {
		u.c.start(v)
		return
	}
	if v.role != Leader {
		switch r := u.c.random.IntN(100); {
		case r < 40:
			u.campaign(v)
		case r < 44:
			u.c.crash(v, u.c.random.IntN(2))
		default:
			u.c.sync(v, len(v.unsynced))
			if n := len(u.c.packets); n > 0 {
				u.receive(u.c.random.IntN(n))
			}
		}
		return
	}
	switch r := u.c.random.IntN(100); {
	case r < 25:
		u.mark(v)
	case r < 55:
		u.seat(v)
	case r < 60:
		u.step(v, Propose{Key: u.nextKey(), Commands: [][]byte{{0, byte(u.key)}}})
	case r < 63:
		u.step(v, Compact{v.applied, snapshotData(v.state, 10)})
	case r < 68:
		if u.changesSize {
			u.changeSize(v)
		}
	case r < 73:
		u.takeMarkBack(v)
	case r < 80:
		v.clockOffset += int64(100 * anvilclock.Millisecond * 1000)
		u.step(v, Tick{})
	}
	if u.chance(70) {
		u.replicate(v, []int{30, 60, 95}[u.c.random.IntN(3)])
	}
}

// TestUntimedReplacements guards against two leaders in a term, and against committed entries that get lost, where the seat of a
// marked storage needs no quorum of the voters before it. The schedules find variants in which marked voters count, and in
// which unmarked ones are replaced alone; those that take marks back wrongly are found by TestOverlappingQuorumsIntersect.
func TestUntimedReplacements(t *testing.T) {
	for seed := range *untimedSeeds {
		seed += *scheduleFirst
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			names := []string{"a", "b", "c", "d", "e", "f", "g"}[:[]int{5, 3, 5, 4, 5, 6, 5, 7}[seed%8]]
			c := newCluster(t, seed, names, WithElectionTimeout(300, 320), WithTrailingEntries(5), WithMaxLearnerLag(100), WithLostStorages())
			c.syncAtOnce, c.untimed, c.duplicateProbability = false, true, 0.02
			c.latency = fixedLatency(0)
			u := &untimed{
				c: c, size: len(names), changesSize: seed%8 >= 4, storages: map[anvilid.InstanceID]int{},
				named: map[VoterID]bool{}, seated: map[VoterID]bool{}, namesOften: seed/8%2 == 1,
			}
			for range 120 {
				u.act()
				for len(c.packets) > 300 {
					i := c.random.IntN(len(c.packets))
					c.packets = append(c.packets[:i:i], c.packets[i+1:]...)
				}
			}
			t.Logf("%d leaders, %d entries committed, %d seats", len(c.leaders), len(c.committed), u.seats)
		})
	}
}

// newScripted returns three voters whose messages a test delivers. The second one leads and has marked the first one as lost.
func newScripted(t *testing.T) (u *untimed, lost, leader, other *voter) {
	c := newCluster(t, 1, []string{"a", "b", "c"}, WithElectionTimeout(300, 320), WithMaxLearnerLag(100), WithLostStorages())
	c.syncAtOnce, c.untimed, c.latency = false, true, fixedLatency(0)
	u = &untimed{c: c, size: 3, storages: map[anvilid.InstanceID]int{}}
	lost, leader, other = c.voters[0], c.voters[1], c.voters[2]
	assert.Assert(t, u.elect(leader, lost, other))
	u.step(leader, ChangeVoters{Key: u.nextKey(), Lost: []VoterID{lost.id}})
	u.settle(leader, other)
	return u, lost, leader, other
}

// settle delivers the messages among some voters, and syncs their disks.
func (u *untimed) settle(voters ...*voter) {
	among := map[VoterID]bool{}
	for _, v := range voters {
		among[v.id] = true
	}
	for range 5 {
		for _, v := range voters {
			u.c.sync(v, len(v.unsynced))
		}
		u.deliver(func(m Message) bool { return among[m.From] && among[m.To] })
	}
}

// elect lets a voter campaign among others that have not heard of a leader for long, and reports whether it leads then.
func (u *untimed) elect(v *voter, others ...*voter) bool {
	for _, other := range others {
		other.clockOffset += 1_000_000
	}
	v.clockOffset += 1_000_000
	u.step(v, Tick{})
	u.settle(append(others, v)...)
	return v.role == Leader
}

// dropTo loses the messages that are under way to a voter.
func (u *untimed) dropTo(v *voter) {
	u.c.packets = slices.DeleteFunc(u.c.packets, func(p packet) bool { return p.message.To == v.id })
}

// name lets a leader name a new storage as the successor of a marked voter, and send it the log.
func (u *untimed) name(leader, lost *voter) *voter {
	successor := u.newStorage(lost.id.Instance)
	u.step(leader, ChangeVoters{Key: u.nextKey(), Lost: []VoterID{lost.id}, Successors: []VoterID{successor.id}})
	return successor
}

func (u *untimed) sendLogTo(leader, joining *voter) {
	u.step(leader, SendLog{To: joining.id, Empty: true})
	u.settle(leader, joining)
}

// heartbeats lets a leader send heartbeats and receive the answers of some voters.
func (u *untimed) heartbeats(leader *voter, voters ...*voter) {
	for range 3 {
		leader.clockOffset += 100_000
		u.step(leader, Tick{})
		u.settle(append(voters, leader)...)
	}
}

// TestSeatOfLatestName guards against a leader that lacks committed entries where two storages were named one after the other and the
// second one got its seat before the first name was committed: a voter that knows only the first name would be elected by that one.
func TestSeatOfLatestName(t *testing.T) {
	u, lost, leader, other := newScripted(t)
	first := u.name(leader, lost)
	u.sendLogTo(leader, first)
	u.deliver(func(m Message) bool { return m.To == other.id })
	u.c.sync(other, len(other.unsynced)) // the answer is under way
	second := u.name(leader, lost)
	u.sendLogTo(leader, second)
	u.step(leader, ChangeVoters{Key: u.nextKey(), Seat: []VoterID{second.id}})
	u.dropTo(other)
	u.deliver(func(m Message) bool { return m.To == leader.id && m.From == other.id })
	for range 3 {
		leader.clockOffset += 100_000
		u.step(leader, Tick{})
		u.deliver(func(m Message) bool {
			return m.To == leader.id && m.From == other.id || m.To == other.id && len(m.Entries) == 0
		})
	}
	assert.Equal(t, other.node.commit, other.node.log.last(), "it knows that the first name is committed")
	u.step(leader, Propose{Key: u.nextKey(), Commands: [][]byte{{0, 1}}})
	u.heartbeats(leader, second)
	isElected := u.elect(other, first)
	assert.Assert(t, leader.node.commit < leader.node.log.last() || !isElected, "a leader lacks committed entries")
}

// TestAcknowledgementBeforeSeat guards against a leader that lacks committed entries because an acknowledgement counted which a
// successor had sent before its seat: without the seat, it votes for shorter logs.
func TestAcknowledgementBeforeSeat(t *testing.T) {
	u, lost, leader, other := newScripted(t)
	successor := u.name(leader, lost)
	u.settle(leader, other)
	u.heartbeats(leader, other) // it knows that the name is committed
	u.step(leader, SendLog{To: successor.id, Empty: true})
	leader.clockOffset += 1_000_000 // commands are no longer held
	u.step(leader, Propose{Key: u.nextKey(), Commands: [][]byte{{0, 1}}})
	u.settle(leader, successor)
	assert.Equal(t, successor.node.log.last(), leader.node.log.last())
	u.step(leader, ChangeVoters{Key: u.nextKey(), Seat: []VoterID{successor.id}})
	u.dropTo(successor)
	u.dropTo(other)
	u.settle(leader)
	assert.Assert(t, u.elect(other, successor))
	assert.Assert(t, leader.node.commit <= other.node.commit, "a leader lacks committed entries")
}

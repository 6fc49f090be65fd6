package anvilraft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// voter is one simulated instance with its disk and clock.
type voter struct {
	id             VoterID
	node           *Node // nil while the process is down
	disk           PersistentState
	unsynced       []Save
	diskStalled    bool // the disk does not sync
	electionForced bool // the election timeout expires at every tick
	frozen         bool
	lastTickAt     int64
	sendDelay      int64   // in microseconds, for all messages that this instance sends
	clockRate      float64 // rate of the clock relative to the cluster's time
	clockOffset    int64
	role           Role
	state          [registers]byte
	applied        anvilid.Index
	undelivered    []Message // messages that arrived while the process was frozen
	rejected       []Rejection
	barriers       []Barrier
}

const registers = 4

type packet struct {
	message Message
	due     int64
}

// cluster runs nodes on a simulated network, and checks the invariants of Raft after every
// step. Times are in microseconds.
type cluster struct {
	testing.TB
	random               *rand.Rand
	now                  int64
	voters               []*voter
	packets              []packet
	latency              func(from *voter, m Message) int64 // negative for a lost message
	duplicateProbability float64                            // probability that a message is delivered twice
	cut                  map[[2]anvilid.InstanceID]bool
	syncAtOnce           bool // disks sync at once, unless diskStalled
	untimed              bool // clocks jump, so that leases aren't checked
	options              []Option
	leaders              map[anvilid.Term]VoterID
	logRecords           map[[2]uint64]logRecord
	committed            []Entry
	commitTerms          []anvilid.Term // the term in which each entry was committed
	onEntry              func(v *voter, entry Entry)
	onEffects            func(v *voter, effects Effects)
}

// logRecord is the content that every log must have at one index and term.
type logRecord struct {
	data     string
	previous anvilid.Term
}

func newCluster(t testing.TB, seed uint64, names []string, opts ...Option) *cluster {
	c := &cluster{
		TB: t, random: rand.New(rand.NewPCG(seed, 1)), latency: fixedLatency(1000), syncAtOnce: true,
		cut:     map[[2]anvilid.InstanceID]bool{},
		options: append([]Option{WithSeed(seed)}, opts...),
		leaders: map[anvilid.Term]VoterID{}, logRecords: map[[2]uint64]logRecord{},
		onEntry: func(*voter, Entry) {}, onEffects: func(*voter, Effects) {},
	}
	var ids []VoterID
	for _, name := range names {
		ids = append(ids, c.add(name).id)
	}
	for _, v := range c.voters {
		v.disk.Apply(Bootstrap(7, ids...))
		c.start(v)
	}
	return c
}

// fixedLatency returns the latency function, in microseconds, of a network without faults.
func fixedLatency(latency int64) func(*voter, Message) int64 {
	return func(from *voter, _ Message) int64 { return latency + from.sendDelay }
}

func (c *cluster) add(name string) *voter {
	v := &voter{id: VoterID{anvilid.InstanceID(name), "1"}, clockRate: 1}
	v.disk.Storage = v.id.Storage
	c.voters = append(c.voters, v)
	return v
}

func (c *cluster) start(v *voter) {
	v.state, v.applied, v.undelivered, v.role, v.frozen = [registers]byte{}, v.disk.Snapshot.Index, nil, Follower, false
	copy(v.state[:], v.disk.Snapshot.Data)
	v.node = New(v.id.Instance, v.disk, c.options...)
	v.lastTickAt = c.now
	c.step(v, Tick{})
}

// snapshotData returns a snapshot of the given size. Its bytes follow a pattern, so that a
// missing or misplaced chunk is detected.
func snapshotData(state [registers]byte, size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i % 251)
	}
	copy(data, state[:])
	return data
}

// crash stops a process. Of its Saves that were not synced, the first ones reach the disk
// all the same; written is their number.
func (c *cluster) crash(v *voter, written int) {
	for _, save := range v.unsynced[:min(written, len(v.unsynced))] {
		v.disk.Apply(save)
	}
	v.node, v.unsynced, v.role = nil, nil, Follower
}

// wipe replaces the disk of a stopped process by an empty one, which has a new StorageID.
func (c *cluster) wipe(v *voter) {
	v.id.Storage += "1"
	v.disk = PersistentState{Storage: v.id.Storage}
}

func (v *voter) clock(now int64) anvilclock.Millis {
	return anvilclock.Millis((float64(now)*v.clockRate + float64(v.clockOffset)) / 1000)
}

// sync writes the first count pending Saves to disk and reports them to the node.
func (c *cluster) sync(v *voter, count int) {
	if v.node == nil || v.frozen || count == 0 {
		return
	}
	for _, save := range v.unsynced[:count] {
		v.disk.Apply(save)
	}
	sequence := v.unsynced[count-1].Sequence
	v.unsynced = v.unsynced[count:]
	c.step(v, Persisted{sequence})
}

func (c *cluster) step(v *voter, event Event) {
	effects := v.node.Step(v.clock(c.now), event)
	if save := effects.Save; save != nil {
		v.unsynced = append(v.unsynced, *save)
		c.checkEntries(v, *save)
	}
	c.checkLeader(v, effects)
	if effects.Restore != nil {
		data := effects.Restore.Data
		assert.Assert(c, bytes.Equal(data, snapshotData([registers]byte(data), len(data))), "damaged snapshot")
		copy(v.state[:], data)
		v.applied = effects.Restore.Index
	}
	c.checkCommit(v, effects)
	for _, entry := range effects.Committed {
		c.apply(v, entry)
	}
	v.rejected = append(v.rejected, effects.Rejected...)
	v.barriers = append(v.barriers, effects.Barriers...)
	c.onEffects(v, effects)
	for _, m := range effects.Send {
		c.checkSynced(v, m)
		c.sendPacket(v, m)
	}
	c.checkQuorums()
	if c.syncAtOnce && !v.diskStalled {
		c.sync(v, len(v.unsynced))
	}
}

func (c *cluster) sendPacket(v *voter, m Message) {
	if c.syncAtOnce { // skipped for random schedules, to save time
		data, err := Encode(m)
		assert.NilError(c, err)
		m = Message{}
		assert.NilError(c, Decode(data, &m))
	}
	copies := 1
	if c.random.Float64() < c.duplicateProbability {
		copies = 2
	}
	for range copies {
		if delay := c.latency(v, m); delay >= 0 {
			c.packets = append(c.packets, packet{m, c.now + delay})
		}
	}
}

// deliver delivers the messages that are due, in order of their due time.
func (c *cluster) deliver() {
	for {
		next := -1
		for i, p := range c.packets {
			if p.due <= c.now && (next < 0 || p.due < c.packets[next].due) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		m := c.packets[next].message
		c.packets = slices.Delete(c.packets, next, next+1)
		i := slices.IndexFunc(c.voters, func(v *voter) bool { return v.id.Instance == m.To.Instance })
		if i < 0 || c.voters[i].node == nil || c.cut[[2]anvilid.InstanceID{m.From.Instance, m.To.Instance}] {
			continue
		}
		if v := c.voters[i]; v.frozen {
			v.undelivered = append(v.undelivered, m)
		} else {
			c.step(v, Receive{m})
		}
	}
}

func (c *cluster) unfreeze(v *voter) {
	v.frozen = false
	for _, m := range v.undelivered {
		c.packets = append(c.packets, packet{m, c.now + c.random.Int64N(5000)})
	}
	v.undelivered = nil
}

func (c *cluster) byInstance(id anvilid.InstanceID) *voter {
	i := slices.IndexFunc(c.voters, func(v *voter) bool { return v.id.Instance == id })
	if i < 0 {
		c.Fatalf("no instance %q", id)
	}
	return c.voters[i]
}

// run advances the time by a span without faults.
func (c *cluster) run(span anvilclock.Millis) {
	for range span {
		c.now += 1000
		c.deliver()
		for _, v := range c.voters {
			if v.electionForced && v.role != Leader {
				v.clockOffset += 700_000
			}
			if v.node != nil && !v.frozen {
				c.tick(v)
			}
		}
	}
}

// tick passes a Tick, which is late if the process was frozen.
func (c *cluster) tick(v *voter) {
	late := anvilclock.Millis((c.now-v.lastTickAt)/1000) - 1
	if late < 50 {
		late = 0
	}
	v.lastTickAt = c.now
	c.step(v, Tick{Late: late})
}

// cutLink drops everything that one instance sends to another.
func (c *cluster) cutLink(from, to *voter) {
	c.cut[[2]anvilid.InstanceID{from.id.Instance, to.id.Instance}] = true
}

// leader returns the leader that has a quorum, or nil.
func (c *cluster) leader() *voter {
	for _, v := range c.voters {
		if v.node != nil && !v.frozen && v.node.HasQuorum(v.clock(c.now)) {
			return v
		}
	}
	return nil
}

// checkEntries checks log matching: equal index and term mean equal entries. The term of
// the entry before is compared too, so the logs are equal up to there.
func (c *cluster) checkEntries(v *voter, save Save) {
	for _, entry := range save.Entries {
		previous, _ := v.node.log.term(entry.Index - 1)
		key := [2]uint64{uint64(entry.Index), uint64(entry.Term)}
		want := logRecord{fmt.Sprint(entry.Kind, entry.At, entry.Data), previous}
		if old, ok := c.logRecords[key]; ok && old != want {
			c.Fatalf("log matching: %v has %v at %v, elsewhere it is %v", v.id, want, key, old)
		}
		c.logRecords[key] = want
	}
}

// checkLeader fails if a term has two leaders, or if a new leader lacks a committed entry.
func (c *cluster) checkLeader(v *voter, effects Effects) {
	if effects.Role == Leader && v.role != Leader {
		if other, ok := c.leaders[effects.Term]; ok {
			c.Fatalf("two leaders in term %d: %v and %v", effects.Term, other, v.id)
		}
		if v.disk.Hard.Term != effects.Term || v.disk.Hard.Vote != v.id {
			c.Fatalf("%v leads in term %d but has not synced its own vote", v.id, effects.Term)
		}
		c.leaders[effects.Term] = v.id
		for i, entry := range c.committed {
			// Entries committed in a later term are skipped, because delayed votes may elect a leader
			// of an earlier term afterwards.
			if c.commitTerms[i] < effects.Term && entry.Index > v.node.log.base && !v.node.log.matches(entry.Index, entry.Term) {
				c.Fatalf("leader %v of term %d lacks committed entry %d of term %d", v.id, effects.Term, entry.Index, entry.Term)
			}
		}
	}
	v.role = effects.Role
}

// holds reports whether the disk contains the entry with this index and term, or a snapshot
// that covers it.
func (v *voter) holds(index anvilid.Index, term anvilid.Term) bool {
	same := func(e Entry) bool { return e.Index == index && e.Term == term }
	return v.disk.Snapshot.Index >= index || slices.ContainsFunc(v.disk.Entries, same)
}

// checkCommit fails if a leader commits an entry that is on the disks of only a minority of
// the voters. A disk that was lost meanwhile counts as having the entry.
func (c *cluster) checkCommit(v *voter, effects Effects) {
	if effects.Role != Leader || len(effects.Committed) == 0 {
		return
	}
	last := effects.Committed[len(effects.Committed)-1]
	members := v.node.Status().Members
	holders := 0
	for _, id := range members.Voters {
		other := c.byInstance(id.Instance)
		if other.id != id || other.holds(last.Index, last.Term) {
			holders++
		}
	}
	if holders < members.Quorum() {
		c.Fatalf("%v commits entry %d, which only %d disks of %v hold", v.id, last.Index, holders, members.Voters)
	}
}

// apply fails if a committed entry is lost, changed or repeated.
func (c *cluster) apply(v *voter, entry Entry) {
	if entry.Index != v.applied+1 {
		c.Fatalf("%v applies entry %d after %d", v.id, entry.Index, v.applied)
	}
	if int(entry.Index) > len(c.committed) {
		if n := len(c.committed); n > 0 && c.committed[n-1].At > entry.At {
			c.Fatalf("time of entry %d goes backwards", entry.Index)
		}
		c.committed = append(c.committed, entry)
		c.commitTerms = append(c.commitTerms, v.node.hardState.Term)
	} else if want := c.committed[entry.Index-1]; want.Term != entry.Term || !bytes.Equal(want.Data, entry.Data) {
		c.Fatalf("%v commits %v, but %v was committed before", v.id, entry, want)
	}
	v.applied = entry.Index
	if entry.Kind == KindCommand && len(entry.Data) == 2 {
		v.state[entry.Data[0]] = entry.Data[1]
	}
	c.onEntry(v, entry)
}

// checkSynced fails if a node acknowledges state that a crash could still undo.
func (c *cluster) checkSynced(v *voter, m Message) {
	term, _ := v.node.log.term(m.Match)
	if m.Type == MessageAppendResponse && m.Match > v.node.log.base && !v.holds(m.Match, term) {
		c.Fatalf("%v acknowledges entry %d of term %d but has not synced it", v.id, m.Match, term)
	}
	if m.Type != MessageVoteResponse || m.Reject {
		return
	}
	if v.disk.Hard.Term < m.Term || v.disk.Hard.Term == m.Term && v.disk.Hard.Vote != m.To {
		c.Fatalf("%v grants a vote for term %d that is not synced", v.id, m.Term)
	}
	if c.untimed {
		return
	}
	// A voter must not help to elect anyone while a leader still counts its answer for
	// HasQuorum.
	for _, other := range c.voters {
		if other.node == nil || other.id == m.To {
			continue
		}
		if p := other.node.peer(v.id); p != nil && other.clock(c.now)-p.answeredSentAt < other.node.options.quorumLeaseDuration() {
			c.Fatalf("%v votes for %v at %d us while leader %v counts on it", v.id, m.To, c.now, other.id)
		}
	}
}

// checkQuorums fails if two nodes have a quorum, and so act as leader, at the same instant.
func (c *cluster) checkQuorums() {
	if c.untimed {
		return
	}
	var first *voter
	for _, v := range c.voters {
		if v.node == nil || !v.node.HasQuorum(v.clock(c.now)) {
			continue
		}
		if first != nil {
			c.Fatalf("%v and %v both have a quorum at %d us", first.id, v.id, c.now)
		}
		first = v
	}
}

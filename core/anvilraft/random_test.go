package anvilraft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestRandomSchedules runs clients, faults and membership repair together and
// checks the log (see cluster) and that the registers are linearizable. Seeds
// are fixed; a failure prints its seed as the name of the subtest.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(64) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			names := []string{"a", "b", "c", "d", "e"}[:3+2*(seed%2)]
			// Timeouts that differ little make elections collide with leases.
			s := newSchedule(newCluster(t, seed, names, WithElectionTimeout(300, 320), WithTrailingEntries(5), WithMessageBytes(120),
				WithInflight(500, 8), WithUncommittedBytes(2000), WithCatchUp(3)))
			s.run(16 * anvilclock.Second)
			s.calm()
			s.checkHistory()
			t.Logf("seed %d: %d entries committed, %d leaders, %d operations, %d disks lost, %d snapshots installed",
				seed, len(s.c.committed), len(s.c.leaders), len(s.history), s.wiped, s.installed)
			assert.Assert(t, len(s.c.committed) > 50, "the faults left the group no time to work")
		})
	}
}

// TestSameSeed guards against steps that depend on anything but their input,
// such as the iteration order of a map.
func TestSameSeed(t *testing.T) {
	var runs [2]*schedule
	for i := range runs {
		runs[i] = newSchedule(newCluster(t, 3, []string{"a", "b", "c", "d", "e"}, WithTrailingEntries(5)))
		runs[i].run(10 * anvilclock.Second)
	}
	assert.DeepEqual(t, runs[0].c.committed, runs[1].c.committed)
	assert.DeepEqual(t, runs[0].c.leaders, runs[1].c.leaders)
	assert.Equal(t, len(runs[0].c.packets), len(runs[1].c.packets))
}

// schedule drives a cluster at random.
type schedule struct {
	c         *cluster
	ops       []*operation // one for each client that waits
	history   []porcupine.Operation
	events    int64 // orders calls and returns
	key       uint64
	lost      *voter // its disk was lost and it is not a voter again yet
	wiped     int
	installed int
}

// operation is a read or a write of one client that waits for its result.
type operation struct {
	client   int
	register byte
	value    byte // to write
	read     bool
	key      uint64
	at       *voter
	index    anvilid.Index
	term     anvilid.Term
	call     int64
	deadline int64
}

const clients = 3

func newSchedule(c *cluster) *schedule {
	s := &schedule{c: c, ops: make([]*operation, clients)}
	for _, v := range c.voters {
		s.newClock(v)
	}
	c.prompt = false
	c.double = 0.05
	c.latency = func(*voter, Message) int64 {
		switch p := c.random.Float64(); {
		case p < 0.05:
			return -1
		case p < 0.1:
			return c.random.Int64N(400_000)
		}
		return 200 + c.random.Int64N(10_000)
	}
	c.onEntry = s.onEntry
	c.onEffects = s.onEffects
	return s
}

// newClock gives a process a clock at the limits of the assumed rate error.
func (s *schedule) newClock(v *voter) {
	v.rate = []float64{0.99, 1, 1.01}[s.c.random.IntN(3)]
	v.offset = s.c.random.Int64N(1_000_000_000)
}

func (s *schedule) chance(perSecond float64) bool { return s.c.random.Float64() < perSecond/1000 }

func (s *schedule) run(span anvilclock.Millis) {
	for range span {
		s.c.now += 1000
		s.c.deliver()
		for _, v := range s.c.voters {
			s.disturb(v)
			if v.node != nil && !v.frozen && s.chance(200) {
				s.c.step(v, Tick{})
			}
			if n := len(v.unsynced); n > 0 && s.chance(150) && !v.lag {
				s.c.sync(v, 1+s.c.random.IntN(n))
			}
			if s.chance(3) {
				v.lag = s.c.random.IntN(4) == 0
			}
			if v.node != nil && !v.frozen && s.chance(2) {
				s.c.step(v, Compact{v.applied, snapshotData(v.state, 400)})
			}
		}
		s.partition()
		if s.chance(50) {
			s.repair()
		}
		s.work()
	}
}

// disturb crashes, restarts, freezes and thaws processes and loses a disk, but
// never a second disk before the first one's voter has been replaced.
func (s *schedule) disturb(v *voter) {
	switch {
	case v.node == nil:
		if s.chance(8) {
			s.newClock(v)
			s.c.start(v)
		}
	case s.chance(0.3):
		s.c.crash(v, s.c.random.IntN(4))
		if s.lost == nil && s.chance(500) {
			s.c.wipe(v)
			s.lost = v
			s.wiped++
		}
	case v.frozen:
		if s.chance(3) {
			s.c.thaw(v)
		}
	case s.chance(0.25):
		v.frozen = true
	}
}

// partition cuts one or both directions of one link, isolates an instance, or
// heals all.
func (s *schedule) partition() {
	pick := func() *voter { return s.c.voters[s.c.random.IntN(len(s.c.voters))] }
	if s.chance(3) {
		from, to := pick(), pick()
		s.c.cutLink(from, to)
		if s.chance(700) {
			s.c.cutLink(to, from)
		}
	}
	if s.chance(0.3) {
		one := pick()
		for _, v := range s.c.voters {
			s.c.cutLink(v, one)
			s.c.cutLink(one, v)
		}
	}
	if s.chance(2) {
		clear(s.c.cut)
	}
}

// repair is the operator that replaces the voter with the lost disk.
func (s *schedule) repair() {
	leader := s.c.leader()
	if s.lost == nil || leader == nil {
		return
	}
	status := leader.node.Status()
	old := slices.IndexFunc(status.Members.Voters, func(id VoterID) bool {
		return id.Instance == s.lost.id.Instance && id != s.lost.id
	})
	s.key++
	switch {
	case status.Members.IsVoter(s.lost.id):
		if leader.node.members.pending() <= status.Commit {
			s.lost = nil
		}
	case !status.Members.Contains(s.lost.id):
		s.c.step(leader, ChangeVoters{Key: s.key, AddLearner: s.lost.id})
	case old >= 0:
		s.c.step(leader, ChangeVoters{Key: s.key, Remove: status.Members.Voters[old]})
	default:
		s.c.step(leader, ChangeVoters{Key: s.key, AddVoter: s.lost.id})
	}
}

// calm ends all faults and expects the group to recover completely.
func (s *schedule) calm() {
	clear(s.c.cut)
	s.c.prompt, s.c.double, s.c.latency = true, 0, constant(1000)
	for _, v := range s.c.voters {
		v.lag = false
		if v.node == nil {
			s.c.start(v)
		}
		s.c.thaw(v)
	}
	for range 40 {
		s.c.run(100)
		s.repair()
	}
	leader := s.c.leader()
	assert.Assert(s.c, leader != nil && s.lost == nil, "the group did not recover: leader %v, lost %v", leader, s.lost)
	for _, v := range s.c.voters {
		assert.Equal(s.c, v.applied, leader.applied, "%v lags", v.id)
		assert.Equal(s.c, v.state, leader.state, "state of %v", v.id)
	}
}

// work lets each client start an operation or give up.
func (s *schedule) work() {
	for client, op := range s.ops {
		if op == nil && s.chance(30) {
			s.call(client)
		}
		if op != nil && s.c.now > op.deadline {
			s.finish(op, 0, true)
		}
	}
}

func (s *schedule) call(client int) {
	v := s.c.voters[s.c.random.IntN(len(s.c.voters))]
	if v.node == nil || v.frozen || v.role != Leader {
		return
	}
	s.key++
	s.events++
	op := &operation{
		client: client, register: byte(s.c.random.IntN(registers)), value: byte(s.key), read: s.c.random.IntN(2) == 0,
		key: s.key, at: v, call: s.events, deadline: s.c.now + 1_000_000,
	}
	s.ops[client] = op
	if op.read {
		s.c.step(v, ReadBarrier{op.key})
		return
	}
	at := anvilclock.Millis(s.c.random.IntN(1000)) // wall clocks disagree
	s.c.step(v, Propose{Key: op.key, Commands: [][]byte{{op.register, op.value}, make([]byte, 40)}, At: at})
}

func (s *schedule) onEffects(v *voter, effects Effects) {
	if effects.Restore != nil {
		s.installed++
	}
	for _, op := range slices.Clone(s.ops) {
		if op == nil || op.at != v {
			continue
		}
		for _, a := range effects.Accepted {
			if a.Key == op.key {
				op.index, op.term = a.First, a.Term
			}
		}
		for _, r := range effects.Rejected {
			if r.Key == op.key && r.Reason != ErrInvalidCompact {
				s.ops[op.client] = nil // it had no effect
			}
		}
		for _, b := range effects.Barriers {
			if b.Key == op.key && op.read {
				assert.Assert(s.c, v.applied >= b.Index)
				s.finish(op, v.state[op.register], false)
			}
		}
	}
}

func (s *schedule) onEntry(v *voter, entry Entry) {
	for _, op := range slices.Clone(s.ops) {
		if op == nil || op.read || op.at != v || op.index != entry.Index {
			continue
		}
		if op.term == entry.Term {
			s.finish(op, 0, false)
		} else {
			s.ops[op.client] = nil // another entry took its place
		}
	}
}

// finish records an operation. The outcome of a write that timed out is
// unknown: it may take effect at any later time.
func (s *schedule) finish(op *operation, result byte, timeout bool) {
	s.ops[op.client] = nil
	if timeout && op.read {
		return
	}
	s.events++
	done := porcupine.Operation{ClientId: op.client, Input: *op, Call: op.call, Output: result, Return: s.events}
	if timeout {
		done.ClientId = clients + len(s.history)
		done.Return = 1 << 60
	}
	s.history = append(s.history, done)
}

// checkHistory guards against stale reads and lost writes, as seen by clients.
func (s *schedule) checkHistory() {
	for _, op := range s.ops {
		if op != nil {
			s.finish(op, 0, true)
		}
	}
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, registers)
			for _, op := range history {
				register := op.Input.(operation).register
				parts[register] = append(parts[register], op)
			}
			return parts
		},
		Init: func() any { return byte(0) },
		Step: func(state, input, output any) (bool, any) {
			if op := input.(operation); !op.read {
				return true, op.value
			}
			return output == state, state
		},
	}
	result := porcupine.CheckOperationsTimeout(model, s.history, 10*time.Second)
	assert.Equal(s.c, result, porcupine.Ok, "the registers are not linearizable")
}

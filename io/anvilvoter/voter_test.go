package anvilvoter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"

	"gotest.tools/v3/assert"
)

// Guards against the loss of acknowledged commands when the leader stops, and
// against a restart that does not continue from the data directory.
func TestLeaderDiesAndRestarts(t *testing.T) {
	t.Parallel()
	g, members := newGroup(t, 3)
	for i := range 20 {
		propose(t, members, fmt.Sprint("command ", i))
	}
	first := leader(t, members...)
	first.stop()
	assert.NilError(t, <-first.done)
	_, _, err := first.Propose(context.Background(), []byte("late"))
	assert.ErrorIs(t, err, ErrStopped)
	assert.Assert(t, !first.Status().HasQuorum)
	assert.ErrorIs(t, first.Run(context.Background()), ErrStopped)
	rest := without(members, first)
	for i := 20; i < 40; i++ {
		propose(t, rest, fmt.Sprint("command ", i))
	}
	again := g.start(first.id.Instance, first.dir)
	assert.Equal(t, again.id, first.id)
	converge(t, lines(0, 40), append(rest, again)...)

	for _, m := range append(rest, again) {
		m.stop()
	}
	var all []*member
	for _, m := range members {
		all = append(all, g.start(m.id.Instance, m.dir))
	}
	propose(t, all, "command 40")
	converge(t, lines(0, 41), all...)
}

// Guards against an instance that has lost its disk but is still treated as the
// same voter, and against a voter with a new data directory that does not get a
// vote.
func TestReplaceLostDirectory(t *testing.T) {
	t.Parallel()
	g, members := newGroup(t, 3, WithCompactAfter(10), WithNode(anvilraft.WithTrailingEntries(5)))
	for i := range 30 {
		propose(t, members, fmt.Sprint("command ", i))
	}
	lost := without(members, leader(t, members...))[0]
	rest := without(members, lost)
	lost.stop()
	assert.NilError(t, os.RemoveAll(lost.dir))
	fresh := g.start(lost.id.Instance, lost.dir)
	assert.Assert(t, fresh.id != lost.id && fresh.Status().Created)

	callLeader(t, rest, func(ctx context.Context, m *member) error {
		return m.Enroll(ctx, fresh.id, func(anvilraft.ChangeVoters) {})
	})
	converge(t, lines(0, 30), fresh)
	assert.Assert(t, fresh.restored > 0, "the snapshot was not sent")
	copied := fresh.Status().Copied
	assert.Assert(t, !copied.From.IsZero() && copied.First > 0 && copied.First <= copied.Latest, "the voter doesn't know that it got the log: %+v", copied)

	// The group of three voters accepts commands without another voter only if
	// the voter fresh, which replaced the lost one, has a vote.
	rest[0].stop()
	rest = []*member{rest[1], fresh}
	propose(t, rest, "command 30")
	converge(t, lines(0, 31), rest...)
	voters := leader(t, rest...).Status().Members
	assert.Assert(t, voters.IsVoter(fresh.id) && !voters.Contains(lost.id), "%v", voters)
}

// Guards against a log of few large entries that outgrows memory and disk, because only the number of entries counts.
func TestCompactionOfLargeEntries(t *testing.T) {
	t.Parallel()
	const size, limit = 20_000, 100_000
	g, members := newGroup(t, 3, WithCompactBytes(limit), WithNode(anvilraft.WithTrailingBytes(limit/2)))
	for i := range 30 {
		propose(t, members, fmt.Sprint(i, strings.Repeat("x", size)))
	}
	m := members[0]
	eventually(t, "the member has applied the commands", func() bool { return m.Status().Commit >= 30 })
	m.stop()
	assert.NilError(t, <-m.done)
	storage, restored, err := anvildisk.Open(m.dir)
	assert.NilError(t, err)
	assert.NilError(t, storage.Close())
	stored := 0
	for _, entry := range restored.Entries {
		stored += len(entry.Data)
	}
	assert.Assert(t, stored <= 2*limit, "%d entries with %d bytes are stored", len(restored.Entries), stored)
	again := g.start(m.id.Instance, m.dir)
	eventually(t, "the member has all commands", func() bool { return again.Status().Commit >= 30 })
}

// Guards against a log that grows without bound, and against a restarted or
// lagging voter that cannot continue from a snapshot.
func TestCompaction(t *testing.T) {
	t.Parallel()
	g, members := newGroup(t, 3, WithCompactAfter(20), WithNode(anvilraft.WithTrailingEntries(5)))
	behind := without(members, leader(t, members...))[0]
	behind.stop()
	rest := without(members, behind)
	for i := range 100 {
		propose(t, rest, fmt.Sprint("command ", i))
	}
	behind = g.start(behind.id.Instance, behind.dir)
	converge(t, lines(0, 100), append(rest, behind)...)
	assert.Assert(t, behind.restored > 0, "the snapshot was not sent")
	rest[0].stop()
	assert.NilError(t, <-rest[0].done)
	storage, restored, err := anvildisk.Open(rest[0].dir)
	assert.NilError(t, err)
	assert.NilError(t, storage.Close())
	assert.Assert(t, restored.Snapshot.Index > 50 && len(restored.Entries) < 60, "%d, %d", restored.Snapshot.Index, len(restored.Entries))
	again := g.start(rest[0].id.Instance, rest[0].dir)
	converge(t, lines(0, 100), again)
	assert.Equal(t, again.restored, 1)
}

// Guards against a voter that continues after its disk has failed, and against a
// group that accepts no more commands because one voter has stopped.
func TestFailedDisk(t *testing.T) {
	t.Parallel()
	g, members := newGroup(t, 3)
	propose(t, members, "command 0")
	victim := leader(t, members...)
	rest := without(members, victim)
	victim.stop()
	var broken atomic.Bool
	errDisk := errors.New("input/output error")
	victim = g.start(victim.id.Instance, victim.dir, slowDisk(func() error {
		if broken.Load() {
			return errDisk
		}
		return nil
	}))
	all := append(rest, victim)
	propose(t, all, "command 1")
	broken.Store(true)
	// The victim fails when it writes the next entry, whichever voter is the
	// leader. If the victim is the leader, the outcome of the entry is unknown.
	var err error
	eventually(t, "the victim stops", func() bool {
		_, _, _ = leader(t, all...).Propose(context.Background(), []byte("probe"))
		select {
		case err = <-victim.done:
			return true
		default:
			return false
		}
	})
	assert.ErrorIs(t, err, anvildisk.ErrFailed)
	assert.ErrorIs(t, err, errDisk)
	propose(t, rest, "command 2")
	state := leader(t, rest...).state()
	assert.Assert(t, strings.HasPrefix(state, lines(0, 2)) && strings.HasSuffix(state, "command 2"), state)
	converge(t, state, rest...)
}

// Guards against the acknowledgement of entries that have not been synced to
// disk: while the sync hangs, no entry may be applied although the step loop
// runs.
func TestAppliesOnlyAfterSync(t *testing.T) {
	t.Parallel()
	var hang atomic.Bool
	entered, release := make(chan struct{}), make(chan struct{})
	_, members := newGroup(t, 1, slowDisk(func() error {
		if hang.Load() {
			entered <- struct{}{}
			<-release
		}
		return nil
	}))
	m := leader(t, members...)
	propose(t, members, "command 0")
	resume := sync.OnceFunc(func() {
		hang.Store(false)
		close(release)
	})
	defer resume() // the voter cannot stop while a sync hangs
	hang.Store(true)
	answered := make(chan error, 1)
	go func() {
		_, _, err := m.Propose(context.Background(), []byte("command 1"))
		answered <- err
	}()
	<-entered
	// Each barrier makes the step loop and the apply loop run once more.
	for range 50 {
		assert.NilError(t, m.Barrier(context.Background()))
	}
	assert.Equal(t, m.state(), lines(0, 1))
	eventually(t, "the longest sync is the one that hangs", func() bool { return m.Status().LongestSync >= anvilclock.Second })
	resume()
	assert.NilError(t, <-answered)
	assert.Equal(t, m.state(), lines(0, 2))
}

// Guards against wrong outcomes of calls. The error of a follower must name the
// leader. A partitioned leader must not confirm a Barrier, and must return ErrLost
// when the caller gives up. If another leader's entry replaced the entry of a
// command, the error must be ErrNotLeader (not executed). If only a snapshot
// arrived, which does not show which of the two was committed, it must be ErrLost.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		compactAfter int
		want         error
	}{
		"replaced by entry":    {compactAfter: 100, want: ErrNotLeader},
		"replaced by snapshot": {compactAfter: 3, want: ErrLost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The election timeout is long enough for the partitioned leader to
			// accept two commands before it steps down.
			g, members := newGroup(t, 3, WithCompactAfter(test.compactAfter),
				WithNode(anvilraft.WithElectionTimeout(1500, 2000), anvilraft.WithTrailingEntries(0)))
			testOutcomes(t, g, members, test.want)
		})
	}
}

// Guards against a command that is said to have had no effect, because the voter stopped while it was in progress. A
// caller that relies on that sends it again, though it may be committed.
func TestStopWithCallInProgress(t *testing.T) {
	t.Parallel()
	g, members := newGroup(t, 3, WithNode(anvilraft.WithElectionTimeout(1500, 2000)))
	propose(t, members, "command 0")
	first := leader(t, members...)
	g.setPartitioned(first, true)
	before, answer := first.last(), make(chan error, 1)
	go func() {
		_, _, err := first.Propose(context.Background(), []byte("in progress"))
		answer <- err
	}()
	eventually(t, "the command is accepted", func() bool { return first.last() == before+1 })
	first.stop()
	err := <-answer
	assert.ErrorIs(t, err, ErrLost)
	assert.Assert(t, !errors.Is(err, ErrStopped) && !errors.Is(err, ErrNotLeader), "%v", err)
}

func testOutcomes(t *testing.T, g *group, members []*member, want error) {
	propose(t, members, "command 0")
	first := leader(t, members...)
	rest := without(members, first)
	eventually(t, "the follower knows the leader", func() bool { return rest[0].Status().Leader == first.id })
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	_, _, err := rest[0].Propose(ctx, []byte("no"))
	assert.ErrorIs(t, err, ErrNotLeader)
	var hint *NotLeaderError
	assert.Assert(t, errors.As(err, &hint) && hint.Leader == first.id, "%v", err)
	assert.ErrorIs(t, rest[0].Barrier(ctx), ErrNotLeader)
	assert.NilError(t, first.Barrier(ctx))

	g.setPartitioned(first, true)
	short, giveUp := context.WithCancel(ctx)
	lost, replaced := make(chan error, 1), make(chan error, 1)
	call := func(ctx context.Context, answer chan error) {
		_, _, err := first.Propose(ctx, []byte("cut off"))
		answer <- err
	}
	before := first.last()
	go call(short, lost)
	go call(ctx, replaced)
	eventually(t, "both accepted", func() bool { return first.last() == before+2 })
	giveUp()
	assert.ErrorIs(t, <-lost, ErrLost)
	assert.ErrorIs(t, first.Barrier(ctx), ErrNotLeader)
	for i := 1; i < 10; i++ {
		propose(t, rest, fmt.Sprint("command ", i))
	}
	g.setPartitioned(first, false)
	assert.ErrorIs(t, <-replaced, want)
	assert.Assert(t, ctx.Err() == nil)
	converge(t, lines(0, 10), members...)
}

func (m *member) last() uint64 {
	m.Voter.mu.Lock()
	defer m.Voter.mu.Unlock()
	return uint64(m.node.Status().Last)
}

// Guards against a peer with a hanging network that delays the messages to other
// peers, and against an unbounded queue of messages to the hanging peer: the oldest
// ones must be dropped.
func TestHangingPeer(t *testing.T) {
	t.Parallel()
	entered, release := make(chan string), make(chan struct{})
	defer close(release)
	v := New("a", WithSend(func(_ context.Context, peer anvilraft.VoterID, _ [][]byte) error {
		entered <- string(peer.Instance)
		<-release
		return nil
	}))
	s := newStepper(t.Context(), v)
	hangs, other := anvilraft.VoterID{Instance: "hangs"}, anvilraft.VoterID{Instance: "other"}
	s.senders.add(0, anvilraft.Message{To: hangs})
	assert.Equal(t, <-entered, "hangs")
	for i := range 3 * peerQueueSize {
		s.senders.add(0, anvilraft.Message{To: hangs, Round: uint64(i)})
	}
	s.senders.add(0, anvilraft.Message{To: other})
	assert.Equal(t, <-entered, "other")
	queue := s.senders.queues[hangs].messages
	assert.Equal(t, len(queue), peerQueueSize)
	assert.Equal(t, (<-queue).Round, uint64(2*peerQueueSize))
	assert.Equal(t, v.Status().Dropped, uint64(2*peerQueueSize))
	s.senders.prune(2 * peerIdleTimeout)
	assert.Equal(t, len(s.senders.queues), 0)
}

// Guards against an unbounded queue of calls, against messages that cannot be
// decoded and stop the voter, and against a call that takes effect after it was
// reported as not executed.
func TestOverload(t *testing.T) {
	t.Parallel()
	v := New("a") // not running, so nothing is taken from the queues
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range requestQueueSize {
		_, _, err := v.Propose(ctx, nil)
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.ErrorIs(t, err, context.Canceled)
	}
	_, _, err := v.Propose(context.Background(), nil)
	assert.ErrorIs(t, err, ErrOverloaded)
	s := newStepper(t.Context(), v)
	s.stepRequests(<-v.requests)
	assert.Equal(t, len(s.unanswered), 0)
	v.Deliver([][]byte{[]byte("not a message")})
	assert.Equal(t, v.Status().Dropped, uint64(1))
}

// Guards against bootstrapping a second group in a data directory, and checks
// that the only surviving voter of a group can continue alone.
func TestOperator(t *testing.T) {
	t.Parallel()
	g, members := newGroup(t, 3)
	propose(t, members, "command 0")
	converge(t, lines(0, 1), members...)
	for _, m := range members {
		m.stop()
	}
	survivor := members[0]
	assert.ErrorIs(t, WriteBootstrap(survivor.dir, anvilraft.Bootstrap(groupID, survivor.id)), ErrNotEmpty)
	assert.NilError(t, ForceSoleVoter(survivor.id.Instance, groupID+1, survivor.dir))
	sole := g.start(survivor.id.Instance, survivor.dir)
	propose(t, []*member{sole}, "command 1")
	assert.Equal(t, sole.state(), lines(0, 2))
}

// Guards against a slow disk that is not logged: calls would time out without a
// visible reason.
func TestSlowWritesAreLogged(t *testing.T) {
	t.Parallel()
	const limit = 50 * anvilclock.Millisecond
	var delay atomic.Bool
	disk := slowDisk(func() error {
		if delay.Load() {
			time.Sleep(2 * limit.Duration())
		}
		return nil
	})
	var tail anvillogs.Tail
	log, err := anvillogs.New(&tail, "warn")
	assert.NilError(t, err)
	_, members := newGroup(t, 1, disk, WithLog(log, limit))
	propose(t, members, "fast")
	delay.Store(true)
	propose(t, members, "slow")
	assert.Assert(t, strings.Contains(tail.String(), `"event":216`), tail.String())
	assert.Assert(t, members[0].Status().LongestSync >= 2*limit)
}

// Guards against a line for each write of a disk that stays slow, and against slow writes that are counted nowhere.
func TestSlowWritesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log, err := anvillogs.New(&out, "info")
	assert.NilError(t, err)
	slow := slowWrites{log: log, limit: 50}
	now, writes := anvilclock.Millis(0), 0
	write := func(took anvilclock.Millis) {
		now += took
		slow.add(now, now-took)
	}
	for n := range anvilclock.Millis(50) {
		write(60 + n)
		write(10)
	}
	write(1000)
	lines := 0
	for decoder := json.NewDecoder(&out); decoder.More(); lines++ {
		var line struct{ Took, Writes int }
		assert.NilError(t, decoder.Decode(&line))
		writes += line.Writes
		assert.Assert(t, line.Took >= 60, "the longest one: %v", line)
	}
	assert.Equal(t, writes, 51)
	assert.Assert(t, lines <= 7, "%d lines in 6 s", lines)
}

// TestLateness guards against a voter that takes the time in which it was starved or frozen for
// silence of the others: a late tick must say so, and the usual delays must not count.
func TestLateness(t *testing.T) {
	t.Parallel()
	s := newStepper(t.Context(), New("a", WithTick(10)))
	for gap, want := range map[anvilclock.Millis]anvilclock.Millis{0: 0, 10: 0, 49: 0, 50: 40, 1000: 990} {
		assert.Equal(t, s.lateness(gap), want, "gap of %d ms", gap)
	}
}

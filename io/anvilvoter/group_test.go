package anvilvoter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvilfault"

	"gotest.tools/v3/assert"
)

// conditionTimeout is how long a test waits for a condition. No condition takes
// nearly as long, so a test that fails after this time has found a fault.
const conditionTimeout = 60 * time.Second

const groupID anvilraft.GroupID = 77

var errPartitioned = errors.New("the network is partitioned")

// member is one voter with its data directory and its state machine. The state
// is the list of the applied commands.
type member struct {
	*Voter
	id   anvilraft.VoterID
	dir  string
	stop context.CancelFunc
	done chan error

	mu       sync.Mutex
	lines    []string
	restored int
}

func (m *member) state() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.lines, "\n")
}

func (m *member) machine() StateMachine {
	return StateMachine{
		Apply: func(entry anvilraft.Entry) any {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.lines = append(m.lines, string(entry.Data))
			return "did " + string(entry.Data)
		},
		Restore: func(snapshot anvilraft.Snapshot) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.lines = strings.Split(string(bytes.Clone(snapshot.Data)), "\n")
			m.restored++
			return nil
		},
		Snapshot: func() ([]byte, error) { return []byte(m.state()), nil },
	}
}

// group is a set of voters in this process. They exchange messages by function
// calls.
type group struct {
	tb      testing.TB
	options []Option

	mu          sync.Mutex
	members     map[anvilraft.VoterID]*member
	partitioned map[anvilid.InstanceID]bool
}

func newGroup(tb testing.TB, size int, opts ...Option) (*group, []*member) {
	g := &group{tb: tb, options: opts, members: map[anvilraft.VoterID]*member{}, partitioned: map[anvilid.InstanceID]bool{}}
	var ids []anvilraft.VoterID
	var dirs []string
	for i := range size {
		dirs = append(dirs, filepath.Join(tb.TempDir(), "data"))
		id, err := Identify(anvilid.InstanceID(rune('a'+i)), dirs[i])
		assert.NilError(tb, err)
		ids = append(ids, id)
	}
	var started []*member
	for i, id := range ids {
		assert.NilError(tb, WriteBootstrap(dirs[i], anvilraft.Bootstrap(groupID, ids...)))
		started = append(started, g.start(id.Instance, dirs[i]))
	}
	return g, started
}

// start runs a voter until the test ends or member.stop is called.
func (g *group) start(instance anvilid.InstanceID, dir string, opts ...Option) *member {
	m := &member{dir: dir, done: make(chan error, 1)}
	all := append([]Option{WithDir(dir), WithStateMachine(m.machine()), WithSend(g.send(instance))}, g.options...)
	m.Voter = New(instance, append(all, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = func() {
		cancel()
		<-m.stopped
	}
	go func() { m.done <- m.Run(ctx) }()
	g.tb.Cleanup(m.stop)
	select {
	case <-m.Ready():
	case err := <-m.done:
		g.tb.Fatalf("voter %s: %v", instance, err)
	}
	m.id = m.Status().ID
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[m.id] = m
	return m
}

func (g *group) send(from anvilid.InstanceID) Send {
	return func(_ context.Context, peer anvilraft.VoterID, messages [][]byte) error {
		g.mu.Lock()
		to, partitioned := g.members[peer], g.partitioned[from] || g.partitioned[peer.Instance]
		g.mu.Unlock()
		if to == nil || partitioned {
			return errPartitioned
		}
		to.Deliver(messages)
		return nil
	}
}

func (g *group) setPartitioned(m *member, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned[m.id.Instance] = partitioned
}

// eventually waits for a condition.
func eventually(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("not reached: %s", what)
		}
	}
}

// leader waits until one of the members is the leader with a quorum, and returns
// it.
func leader(tb testing.TB, members ...*member) (found *member) {
	tb.Helper()
	eventually(tb, "a leader with a quorum", func() bool {
		for _, m := range members {
			if m.Status().HasQuorum {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

// callLeader retries a call on the present leader until it succeeds. If the outcome
// of a call is unknown, it does not retry and the test fails.
func callLeader(tb testing.TB, members []*member, call func(ctx context.Context, m *member) error) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	var err error
	eventually(tb, "an accepted call", func() bool {
		err = call(ctx, leader(tb, members...))
		return err == nil || errors.Is(err, ErrLost)
	})
	assert.NilError(tb, err)
}

func propose(tb testing.TB, members []*member, command string) {
	tb.Helper()
	callLeader(tb, members, func(ctx context.Context, m *member) error {
		index, result, err := m.Propose(ctx, []byte(command))
		if err == nil {
			assert.Equal(tb, result, "did "+command)
			assert.Assert(tb, m.Status().Applied >= index)
		}
		return err
	})
}

// lines returns the expected state of a member that has applied the commands with
// the numbers n, from <= n < to.
func lines(from, to int) string {
	var list []string
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprint("command ", i))
	}
	return strings.Join(list, "\n")
}

func converge(tb testing.TB, want string, members ...*member) {
	tb.Helper()
	for _, m := range members {
		eventually(tb, fmt.Sprintf("the state of %s", m.id), func() bool { return m.state() == want })
	}
}

func without(members []*member, m *member) (others []*member) {
	for _, other := range members {
		if other != m {
			others = append(others, other)
		}
	}
	return others
}

// slowDisk returns an option that calls before ahead of each file sync. The function
// can delay the sync, or fail it by returning an error.
func slowDisk(before func() error) Option {
	return func(v *Voter) {
		v.diskOptions = append(v.diskOptions, anvildisk.WithFiles(anvilfault.BeforeSync(before)))
	}
}

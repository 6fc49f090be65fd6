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

// patience bounds how long a test waits for a condition. It is far above what
// any condition needs, so that only a real fault reaches it.
const patience = 60 * time.Second

const groupID anvilraft.GroupID = 77

var errCut = errors.New("the network is cut")

// member is one voter with its data directory and its state machine, which is
// the list of the applied commands.
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

// group is a set of voters in this process, joined by function calls.
type group struct {
	tb      testing.TB
	options []Option

	mu      sync.Mutex
	members map[anvilraft.VoterID]*member
	cut     map[anvilid.InstanceID]bool
}

func newGroup(tb testing.TB, size int, opts ...Option) (*group, []*member) {
	g := &group{tb: tb, options: opts, members: map[anvilraft.VoterID]*member{}, cut: map[anvilid.InstanceID]bool{}}
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

// start runs a voter until the test ends or its stop is called.
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
		to, cut := g.members[peer], g.cut[from] || g.cut[peer.Instance]
		g.mu.Unlock()
		if to == nil || cut {
			return errCut
		}
		to.Deliver(messages)
		return nil
	}
}

func (g *group) setCut(m *member, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[m.id.Instance] = cut
}

// eventually waits for a condition.
func eventually(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("not reached: %s", what)
		}
	}
}

// leader waits until one of the members leads with a quorum.
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

// do repeats a call at the leader until it is certain that it had an effect.
func do(tb testing.TB, members []*member, call func(ctx context.Context, m *member) error) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	do(tb, members, func(ctx context.Context, m *member) error {
		index, result, err := m.Propose(ctx, []byte(command))
		if err == nil {
			assert.Equal(tb, result, "did "+command)
			assert.Assert(tb, m.Status().Applied >= index)
		}
		return err
	})
}

// lines returns the state after the commands with the given numbers.
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

// slowDisk runs a function before each sync of a file.
func slowDisk(before func() error) Option {
	return func(v *Voter) {
		v.diskOptions = append(v.diskOptions, anvildisk.WithFiles(anvilfault.BeforeSync(before)))
	}
}

package anvilraft

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestScripts runs the scripts in testdata. The first comment of a script states the
// failure that it guards against; testdata/README lists the steps.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := script{t: t, file: file}
			for i, line := range strings.Split(string(data), "\n") {
				s.line = i + 1
				text, _, _ := strings.Cut(line, "#")
				if words := strings.Fields(text); len(words) > 0 {
					s.runStep(words[0], append(words[1:], "", "", "")[:len(words)+2])
				}
			}
		})
	}
}

type script struct {
	t    *testing.T
	c    *cluster
	opts []Option
	file string
	line int
	key  uint64
}

func (s *script) parseInt(word string) int {
	n, err := strconv.Atoi(word)
	assert.NilError(s.t, err, "%s:%d", s.file, s.line)
	return n
}

func (s *script) runStep(verb string, args []string) {
	if s.c == nil {
		s.setup(verb, args)
		return
	}
	if verb == "run" {
		s.c.run(anvilclock.Millis(s.parseInt(args[0])))
		return
	}
	if verb == "latency" { // in microseconds
		s.c.latency = fixedLatency(int64(s.parseInt(args[0])))
		return
	}
	if verb == "learner" {
		s.c.start(s.c.add(args[0]))
		return
	}
	v := s.c.byInstance(anvilid.InstanceID(args[0]))
	switch verb {
	case "tick": // moves only this node's clock
		v.clockOffset += int64(s.parseInt(args[1])) * 1000
		s.c.step(v, Tick{})
	case "cut", "heal":
		for _, other := range s.c.voters {
			if args[1] == "" || args[1] == string(other.id.Instance) {
				s.c.cut[[2]anvilid.InstanceID{v.id.Instance, other.id.Instance}] = verb == "cut"
				s.c.cut[[2]anvilid.InstanceID{other.id.Instance, v.id.Instance}] = verb == "cut"
			}
		}
	case "mute":
		s.c.cutLink(v, s.c.byInstance(anvilid.InstanceID(args[1])))
	case "hasty":
		v.electionForced = true
	case "rate": // in percent
		v.clockRate = float64(s.parseInt(args[1])) / 100
	case "stray": // a message with a high term from a node that is not a member
		kind := map[string]MessageType{"vote": MessageVote, "prevote": MessagePreVote, "response": MessageAppendResponse}[args[1]]
		s.c.step(v, Receive{Message{
			Type: kind, Group: v.node.hardState.Group, From: VoterID{"x", "1"}, To: v.id, Term: 99, Index: 99, LogTerm: 98, Reject: true,
		}})
	case "lag":
		v.diskStalled = true
	case "sync":
		if args[1] != "" {
			s.c.sync(v, s.parseInt(args[1]))
			return
		}
		v.diskStalled = false
		s.c.sync(v, len(v.unsynced))
	case "slow":
		v.sendDelay = int64(s.parseInt(args[1]))
	case "crash":
		s.c.crash(v, 0)
	case "restart":
		s.c.start(v)
	case "wipe":
		s.c.wipe(v)
	case "force":
		v.disk.Apply(ForceSoleVoter(v.id, v.disk, 8))
	case "expect":
		s.expect(v, args[1], strings.TrimSpace(strings.Join(args[2:], " ")))
	default:
		s.input(verb, v, args)
	}
}

func (s *script) setup(verb string, args []string) {
	switch verb {
	case "window":
		s.opts = append(s.opts, WithMaxInflight(anvilid.ByteCount(s.parseInt(args[0])), s.parseInt(args[1])), WithMessageBytes(100))
	case "uncommitted":
		s.opts = append(s.opts, WithUncommittedBytes(anvilid.ByteCount(s.parseInt(args[0]))))
	case "trailing":
		s.opts = append(s.opts, WithTrailingEntries(s.parseInt(args[0])))
	case "voters":
		s.c = newCluster(s.t, 1, strings.Fields(strings.Join(args, " ")), s.opts...)
	}
}

func (s *script) input(verb string, v *voter, args []string) {
	s.key++
	v.rejected, v.barriers = nil, nil
	member := func() VoterID { // "b" is the current b, "b/1" the one before its disk was lost
		name, storage, ok := strings.Cut(args[1], "/")
		if ok {
			return VoterID{anvilid.InstanceID(name), StorageID(storage)}
		}
		return s.c.byInstance(anvilid.InstanceID(name)).id
	}
	switch verb {
	case "propose": // a number of commands of a size in bytes
		commands := make([][]byte, s.parseInt(args[1]))
		for i := range commands {
			commands[i] = make([]byte, s.parseInt(args[2]))
		}
		s.c.step(v, Propose{Key: s.key, Commands: commands, At: anvilclock.Millis(s.c.now / 1000)})
	case "propose-at":
		s.c.step(v, Propose{Key: s.key, Commands: [][]byte{nil}, At: anvilclock.Millis(s.parseInt(args[1]))})
	case "learn":
		s.c.step(v, ChangeVoters{Key: s.key, AddLearner: member()})
	case "add":
		s.c.step(v, ChangeVoters{Key: s.key, AddVoter: member()})
	case "remove":
		s.c.step(v, ChangeVoters{Key: s.key, Remove: member()})
	case "barrier":
		s.c.step(v, ReadBarrier{s.key})
	case "compact":
		s.c.step(v, Compact{v.applied, snapshotData(v.state, s.parseInt(args[1]))})
	default:
		s.t.Fatalf("%s:%d: unknown step %q", s.file, s.line, verb)
	}
}

func (s *script) expect(v *voter, what, want string) {
	status := v.node.Status()
	reason := "none"
	for name, err := range map[string]error{
		"leader": ErrNotLeader, "pressure": ErrBackPressure, "pending": ErrChangePending,
		"lagging": ErrNotCaughtUp, "invalid": ErrInvalidChange, "compact": ErrInvalidCompact,
	} {
		if len(v.rejected) > 0 && errors.Is(v.rejected[0].Reason, err) {
			reason = name
		}
	}
	if what == "inflight" { // bytes in flight to one member
		name, rest, _ := strings.Cut(want, " ")
		status.Last = anvilid.Index(v.node.peer(s.c.byInstance(anvilid.InstanceID(name)).id).inflightBytes)
		what, want = "last", rest
	}
	got, ok := map[string]any{
		"role": status.Role, "term": status.Term, "commit": status.Commit, "last": status.Last,
		"at": v.node.log.lastTimestamp(), "leader": status.Leader.Instance, "voters": status.Members.Voters,
		"quorum": v.node.HasQuorum(v.clock(s.c.now)), "confirmed": len(v.barriers), "rejected": reason,
	}[what]
	assert.Assert(s.t, ok, "%s:%d: cannot expect %q", s.file, s.line, what)
	assert.Equal(s.t, fmt.Sprint(got), want, "%s:%d: %s of %v", s.file, s.line, what, v.id)
}

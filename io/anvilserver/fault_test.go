package anvilserver_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
	"anvilshunt/io/anvilvoter"
)

// change returns the JSON of a configuration change with an id, based on revision base, that sets the
// weight of an account.
func change(id string, base, weight int) string {
	return fmt.Sprintf(`{"id": %q, "operator": "op-%s", "base": %d, "set": [{"kind": "account", "name": "agency", "spec": {"weight": %d}}]}`,
		id, id, base, weight)
}

// applied is the answer to a configuration change.
type applied struct {
	Revision   int
	Everywhere bool
	Code       string
	Conflict   struct {
		Change   string
		Operator string
		Differ   []struct{ Kind, Name string }
	}
}

func (s *system) apply(at, body string) (int, applied) {
	s.t.Helper()
	status, text := s.post(at, "/v1/config/changes?everywhere=yes", body)
	var result applied
	_ = json.Unmarshal([]byte(text), &result)
	return status, result
}

// applyAnywhere sends a change to the instances in turn until one accepts it.
func (s *system) applyAnywhere(body string) applied {
	s.t.Helper()
	var result applied
	s.eventually("a change is accepted", func() bool {
		for _, name := range s.order {
			var status int
			if status, result = s.apply(name, body); status == http.StatusOK && result.Everywhere {
				return true
			}
		}
		return false
	})
	return result
}

func (s *system) revision(name string) int {
	status, ok := s.status(name)
	if !ok {
		return -1
	}
	return int(status.Revision)
}

// leader waits until an instance leads the control group with a quorum, and returns it.
func (s *system) leader() (leader string) {
	s.t.Helper()
	s.eventually("an instance leads", func() bool {
		for _, name := range s.order {
			if status, ok := s.status(name); ok && status.Voter != nil && status.Voter.IsLeader && status.Voter.HasQuorum {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

func (s *system) others(name string) (others []string) {
	for _, other := range s.order {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// Guards against an instance that admits requests under an old configuration while it is
// partitioned from the others, against a configuration change that waits forever for the partitioned
// instance, and against an instance that becomes ready with an old revision after the partition heals.
func TestCutInstanceStopsAdmission(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	isolated := s.others(s.leader())[0]
	s.instances[isolated].network.setPartitioned(true)
	// On an overloaded machine the remaining two instances may lose their quorum. All leases lapse then,
	// and the change is truly not in force everywhere, so it is sent again.
	s.eventually("the change is in force everywhere", func() bool {
		leader := s.leader()
		before, steady := s.leadingTerm(leader)
		_, result := s.apply(leader, change("c1", 1, 5))
		after, still := s.leadingTerm(leader)
		undisturbed := steady && still && before == after
		assert.Assert(t, result.Everywhere || !undisturbed, "the change waits for an instance without a lease")
		return result.Everywhere
	})
	// The change is in force everywhere, so the partitioned instance must not admit anything.
	a, err := s.send(request{at: isolated, account: "agency", service: "planner", timeout: "50", id: "while-cut"})
	assert.NilError(t, err)
	assert.Equal(t, a.outcome+" "+a.code, "not-run not_ready")
	assert.Equal(t, s.runCount("agency", "while-cut"), 0)
	assert.Assert(t, !s.ready(isolated))
	s.instances[isolated].network.setPartitioned(false)
	s.eventually("the isolated instance is ready again", func() bool { return s.ready(isolated) })
	assert.Equal(t, s.revision(isolated), 2, "ready under an old revision")
}

// leadingTerm returns the term in which an instance leads, and false if it doesn't lead with a quorum now.
func (s *system) leadingTerm(name string) (anvilid.Term, bool) {
	status, ok := s.status(name)
	if !ok || status.Voter == nil {
		return 0, false
	}
	return status.Voter.Term, status.Voter.HasQuorum
}

// Guards against accepted configuration changes that are lost or reverted when the leader is lost, and
// against a change that is sent again after the loss and published a second time by the next leader.
func TestLeaderLossKeepsChanges(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	leader := s.leader()
	_, first := s.apply(leader, change("c1", 1, 5))
	assert.Equal(t, first.Revision, 2)
	s.kill(leader)
	again := s.applyAnywhere(change("c1", 1, 5))
	assert.Equal(t, again.Revision, 2, "a resend got another result")
	next := s.applyAnywhere(change("c2", 2, 6))
	assert.Equal(t, next.Revision, 3)
	s.start(leader)
	s.eventually("the former leader is back", func() bool { return s.ready(leader) })
	assert.Equal(t, s.revision(leader), 3)
	status, reused := s.apply(leader, change("c1", 1, 7))
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, reused.Code, "id_reused")
}

// Guards against two operators whose concurrent configuration changes are both accepted for the same
// base revision, and against a refusal that does not name the accepted change and its operator.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	type reply struct {
		status int
		result applied
	}
	replies := make(chan reply, 2)
	for i, name := range []string{"i1", "i2"} {
		go func() {
			status, result := s.apply(name, change(fmt.Sprintf("race-%d", i), 1, 10+i))
			replies <- reply{status, result}
		}()
	}
	a, b := <-replies, <-replies
	if a.status != http.StatusOK {
		a, b = b, a
	}
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.result.Revision, 2)
	assert.Equal(t, b.status, http.StatusConflict)
	assert.Equal(t, b.result.Code, "stale_revision")
	assert.Assert(t, strings.HasPrefix(b.result.Conflict.Change, "race-"))
	assert.Equal(t, b.result.Conflict.Operator, "op-"+b.result.Conflict.Change)
	assert.Equal(t, b.result.Conflict.Differ[0].Name, "agency")
}

// Guards against a voter that restarts with an empty disk and still counts as the old voter, and
// against the loss of configuration changes when further instances, among them the leader, are lost
// right after the voter with the empty disk was enrolled.
func TestLostDiskThenSecondLoss(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	leader := s.leader()
	lost, second := s.others(leader)[0], s.others(leader)[1]
	for i := range 20 {
		_, result := s.apply(leader, change(fmt.Sprint("c", i), i+1, i+2))
		assert.Equal(t, result.Revision, i+2)
	}
	s.kill(lost)
	assert.NilError(t, os.RemoveAll(s.instances[lost].settings.DataDir))
	s.start(lost)
	s.eventually("the new voter replaced the old one", func() bool {
		status, ok := s.status(lost)
		return ok && status.Ready && status.Voter.IsVoter && len(status.Voter.Voters) == 3
	})
	s.kill(second)
	next := s.applyAnywhere(change("after", 21, 99))
	assert.Equal(t, next.Revision, 22)
	s.kill(leader)
	s.start(second)
	last := s.applyAnywhere(change("last", 22, 100))
	assert.Equal(t, last.Revision, 23, "a change was lost with the first leader")
}

// Guards against configuration changes, targets or claims of request ids that do not survive a restart
// of all instances.
func TestAllInstancesRestart(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	for i := range 50 {
		_, result := s.apply("i1", change(fmt.Sprint("c", i), i+1, i+2))
		assert.Equal(t, result.Revision, i+2)
	}
	a, err := s.send(request{at: "i1", account: "agency", service: "planner", id: "n-1", repeatable: "no", body: "once"})
	assert.NilError(t, err)
	assert.Equal(t, a.outcome, "done")
	for _, name := range s.order {
		s.kill(name)
	}
	for _, name := range s.order {
		s.start(name)
	}
	s.eventually("all instances are ready", func() bool { return s.ready("i1") && s.ready("i2") && s.ready("i3") })
	assert.Equal(t, s.revision("i2"), 51)
	s.eventually("targets are adopted", func() bool { return s.adopted(3) })
	a, err = s.send(request{at: "i3", account: "agency", service: "planner", id: "n-1", repeatable: "no", body: "once"})
	assert.NilError(t, err)
	assert.Assert(t, a.outcome == "done" || a.outcome == "unknown")
	assert.Equal(t, s.runCount("agency", "n-1"), 1, "a request that may not be repeated ran again")
}

// Guards against a second run of a request that must not run twice when the instance that runs it is
// killed and the request is sent again, and against the outcome "not-run" for such a request.
func TestHolderDiesDuringRun(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	holder := s.others(s.leader())[0]
	r := request{account: "agency", service: "planner", id: "n-1", repeatable: "no", work: "1500", body: "x"}
	first := r
	first.at = holder
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.send(first) // the connection breaks with the instance
	}()
	s.eventually("the request runs", func() bool { return s.runCount("agency", "n-1") == 1 })
	s.kill(holder)
	<-done
	for _, name := range s.others(holder) {
		r.at = name
		a, err := s.send(r)
		assert.NilError(t, err)
		assert.Equal(t, a.outcome, "unknown", a.code)
	}
	assert.Equal(t, s.runCount("agency", "n-1"), 1)
}

// Guards against more than 8 slots in use at a target when its owner is killed while requests run
// on it and another instance takes the target over.
func TestOwnerDiesUnderLoad(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	owner := s.others(s.leader())[0]
	begin := func(at string, count int) {
		for i := range count {
			go func() {
				_, _ = s.send(request{at: at, account: "agency", service: "planner", id: fmt.Sprint(at, "-", i), work: "3000", timeout: "15000"})
			}()
		}
	}
	begin(owner, 8)
	s.eventually("the owner's target is full", func() bool { return s.targets["t-"+owner].Stats().Running == 8 })
	s.kill(owner)
	for _, name := range s.others(owner) {
		begin(name, 40)
	}
	s.eventually("all requests have ended", func() bool {
		running := 0
		for _, target := range s.targets {
			running += target.Stats().Running
		}
		status, ok := s.status(s.others(owner)[0])
		return ok && running == 0 && status.Admitted == 0 && s.adopted(3)
	})
	for name, target := range s.targets {
		stats := target.Stats()
		assert.Equal(t, stats.Slots.Violations, 0, "%s had %d slots in use", name, stats.Slots.Highest)
		assert.Equal(t, stats.Connections.Violations, 0)
	}
}

// Guards against new work for a leaving target while one instance is partitioned from the others.
func TestLeavingTargetWithCutPeer(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	isolated := s.others(s.leader())[0]
	s.instances[isolated].network.setPartitioned(true)
	target := s.targets["t-"+isolated] // its owner is the isolated instance
	target.StartLeaving()
	s.eventually("the owner has no lease or knows that the target is leaving", func() bool {
		a, err := s.send(request{at: isolated, account: "agency", service: "planner", id: "late", timeout: "50"})
		return err == nil && a.outcome == "not-run"
	})
	before := target.Stats().Runs + target.Stats().Refused.Leaving
	for range 20 {
		_, _ = s.send(request{at: isolated, account: "agency", service: "planner", timeout: "20"})
	}
	assert.Equal(t, target.Stats().Runs+target.Stats().Refused.Leaving, before)
}

// Guards against new work for a target that has announced that it is leaving, from any instance.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	s.startTarget("stays", anviltarget.Settings{Region: "west", Zone: "zone-i1", Rack: "r1"})
	s.eventually("targets are adopted", func() bool { return s.adopted(4) })
	target := s.targets["t-i1"]
	target.StartLeaving()
	offered := func() int { return target.Stats().Runs + target.Stats().Refused.Leaving }
	// The target's owner may be any instance. All instances know that the target is leaving once
	// the announcement is committed to the replicated log.
	s.eventually("all instances know that the target is leaving", func() bool {
		for _, name := range s.order {
			status, ok := s.status(name)
			if !ok {
				return false
			}
			for _, known := range status.Targets {
				if known.ID == "t-i1" && !known.Leaving {
					return false
				}
			}
		}
		return true
	})
	before := offered()
	for i := range 60 {
		a, err := s.send(request{at: s.order[i%3], account: "agency", service: "planner", body: "x"})
		assert.NilError(t, err)
		assert.Equal(t, a.outcome, "done")
	}
	assert.Equal(t, offered(), before)
}

// Guards against a control group that an operator cannot recover after two of three voters lost
// their disks, and against former voters that still count after the recovery.
func TestLostMajorityIsRecovered(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	for i := range 5 {
		s.applyAnywhere(change(fmt.Sprint("c", i), i+1, i+2))
	}
	survivor := s.leader()
	for _, name := range s.order {
		s.kill(name)
	}
	for _, name := range s.others(survivor) {
		assert.NilError(t, os.RemoveAll(s.instances[name].settings.DataDir))
	}
	assert.NilError(t, anvilvoter.ForceSoleVoter(anvilid.InstanceID(survivor), 77, s.instances[survivor].settings.DataDir))
	for _, name := range s.order {
		s.start(name)
	}
	s.eventually("all three are voters again", func() bool {
		for _, name := range s.order {
			status, ok := s.status(name)
			if !ok || !status.Ready || !status.Voter.IsVoter || len(status.Voter.Voters) != 3 {
				return false
			}
		}
		return true
	})
	assert.Equal(t, s.revision("i1"), 6)
	assert.Equal(t, s.applyAnywhere(change("after", 6, 50)).Revision, 7)
}

// Guards against a target that fails every request immediately and therefore attracts the work of
// its service, because it always appears to be idle.
func TestFailingTargetIsEjected(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	for i := range 3 {
		s.startTarget(fmt.Sprint("good", i), anviltarget.Settings{Region: "west", Zone: "zone-i1", Rack: "r1"})
	}
	s.eventually("targets are adopted", func() bool { return s.adopted(6) })
	bad := s.targets["good0"]
	s.setFaults(bad.Address(), `{"fail": true}`)
	ejected := func() bool {
		for _, name := range s.order {
			status, ok := s.status(name)
			for _, owned := range status.Owned {
				if ok && string(owned.Target) == "good0" && owned.Health == "ejected" {
					return true
				}
			}
		}
		return false
	}
	s.eventually("the target is ejected", func() bool {
		_, err := s.send(request{at: "i1", account: "agency", service: "planner", body: "x"})
		assert.NilError(t, err)
		return ejected()
	})
	// From now on the target gets single probes only, at increasing intervals that start at 1 s.
	before := bad.Stats().Runs
	for range 100 {
		a, err := s.send(request{at: "i1", account: "agency", service: "planner", body: "x"})
		assert.NilError(t, err)
		assert.Equal(t, a.status, 200)
	}
	assert.Assert(t, bad.Stats().Runs-before <= 5, "an ejected target ran %d of 100 requests", bad.Stats().Runs-before)
	s.setFaults(bad.Address(), `{}`)
	s.eventually("the target is back after probes", func() bool {
		_, err := s.send(request{at: "i1", account: "agency", service: "planner", body: "x"})
		assert.NilError(t, err)
		return !ejected()
	})
}

// Guards against an instance whose session in the control group ends because only the link between it
// and the leader is broken. The other voters must relay its lease renewals to the leader.
func TestOneBrokenLinkCostsNoLease(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	leader := s.leader()
	name := s.others(leader)[0]
	before, ok := s.status(name)
	assert.Assert(t, ok)
	s.instances[name].network.block(s.instances[leader].settings.Peer)
	_, result := s.apply(leader, change("c1", 1, 5))
	assert.Assert(t, result.Everywhere)
	s.eventually("the instance has applied the change and is ready", func() bool { return s.revision(name) == 2 && s.ready(name) })
	a, err := s.send(request{at: name, account: "agency", service: "planner", id: "n-1", repeatable: "no", body: "x"})
	assert.NilError(t, err)
	assert.Equal(t, a.outcome, "done", a.code)
	after, ok := s.status(name)
	assert.Assert(t, ok)
	assert.Equal(t, after.Incarnation, before.Incarnation, "the instance had to join again under a new incarnation")
}

// Guards against a draining instance that joins the control group again after it has left: the group would
// give it targets, and they would be out of use until its session expired.
func TestDrainedInstanceStaysAway(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	drained := s.others(s.leader())[0]
	// An open connection of a caller keeps the instance running after it has left.
	conn, err := net.Dial("tcp", string(s.instances[drained].settings.Public))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, s.drain(drained))
	_, after, found := strings.Cut(s.instances[drained].log.String(), "instance is draining")
	assert.Assert(t, found)
	assert.Assert(t, !strings.Contains(after, "instance joined the control group"), after)
}

//go:build linux

package main_test

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

// loadGenerator sends requests from concurrent callers until it is stopped, and records every
// violation that it finds.
type loadGenerator struct {
	s        *system
	stop     atomic.Bool
	done     atomic.Int64
	group    sync.WaitGroup
	mu       sync.Mutex
	failures []string
}

func (s *system) startLoad(callers int) *loadGenerator {
	l := &loadGenerator{s: s}
	for caller := range callers {
		l.group.Go(func() {
			for i := 0; !l.stop.Load(); i++ {
				l.sendOne(caller, i)
			}
		})
	}
	return l
}

// resendInterval is the pause between two attempts of sendOne. It is long enough that the six
// attempts last longer than an instance lease of 900 ms.
const resendInterval = 300 * time.Millisecond

// isRepeatable reports whether the request with the number i of a caller may run more than once.
func isRepeatable(caller, i int) bool { return (caller+i)%2 != 0 }

// sendOne sends a request and resends it to the other instances until it is done, at most six times
// in total. It then compares the answers with the number of times that the request ran.
func (l *loadGenerator) sendOne(caller, i int) {
	r := request{id: fmt.Sprintf("r-%d-%d", caller, i), repeatable: "yes", timeout: "4000", work: "20"}
	r.body = "body of " + r.id
	if i%4 == 0 {
		r.work = "2000" // longer than an instance lease, so the owner of the target may change during the run
	}
	if !isRepeatable(caller, i) {
		r.repeatable = "no"
	}
	refused := true
	for try := range 6 {
		r.at = l.s.instanceNames[(caller+i+try)%len(l.s.instanceNames)]
		a := l.s.send(r)
		refused = refused && a.outcome == "not-run"
		if a.outcome == "done" {
			l.done.Add(1)
			l.check(a.body == r.body, "request %s got %q", r.id, a.body)
			l.check(l.s.runCount("agency", r.id) > 0, "request %s got an answer, but it didn't run", r.id)
			break
		}
		if a.outcome != "not-run" {
			// With this pause, the last attempts come after the lease of a killed instance has expired.
			time.Sleep(resendInterval)
		}
	}
	runs := l.s.runCount("agency", r.id)
	l.check(r.repeatable == "yes" || runs <= 1, "request %s must not be repeated, but it ran %d times", r.id, runs)
	l.check(!refused || runs == 0, "request %s got the outcome \"not-run\" every time, but it ran", r.id)
}

func (l *loadGenerator) check(ok bool, format string, args ...any) {
	if ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// waitForMore waits until count further requests are done.
func (l *loadGenerator) waitForMore(count int64) {
	l.s.t.Helper()
	from := l.done.Load()
	l.s.eventually("more requests are done", func() bool { return l.done.Load() >= from+count })
}

// stopAndCheck stops the callers and fails the test if they found violations, if a target was overloaded, or if a
// request that must not be repeated ran twice, even after its caller had looked. It logs the repeatable requests that
// ran more than once.
func (l *loadGenerator) stopAndCheck() {
	l.s.t.Helper()
	l.stop.Store(true)
	l.group.Wait()
	l.s.eventually("all requests have ended", func() bool { return l.s.runningRequests() == 0 })
	l.checkRepeated()
	assert.DeepEqual(l.s.t, l.failures, []string(nil))
	l.s.checkLimits()
}

// checkRepeated checks the number of times that each request ran on all targets together.
func (l *loadGenerator) checkRepeated() {
	l.s.t.Helper()
	runs := map[anvilid.RequestID]int{}
	for _, target := range l.s.targets {
		for _, count := range target.Requests(1) {
			runs[count.ID] += count.Count
		}
	}
	for id, count := range runs {
		var caller, i int
		if _, err := fmt.Sscanf(string(id), "r-%d-%d", &caller, &i); err != nil || count < 2 {
			continue // not a request of the load generator, or not repeated
		}
		l.check(isRepeatable(caller, i), "request %s must not be repeated, but it ran %d times", id, count)
		l.s.t.Logf("request %s ran %d times; repeatable: %t", id, count, isRepeatable(caller, i))
	}
}

// Kills the owner of a target and then the leader while requests are in flight, and restarts them.
// Guards against wrong answers, non-repeatable requests that run twice, and overloaded targets.
func TestKillUnderLoad(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{NoFencing: true})
	l := s.startLoad(48)
	l.waitForMore(50)
	leader, _ := s.leader()
	owner := s.others(leader)[0]
	s.kill(owner)
	l.waitForMore(50)
	s.eventually("the targets have new owners", func() bool { return s.allAdopted(3, s.others(owner)...) })
	s.start(owner)
	s.eventually("the killed instance is ready again", func() bool { return s.ready(owner) })
	leader, _ = s.leader()
	s.kill(leader)
	l.waitForMore(50)
	s.start(leader)
	s.eventually("all instances are ready", func() bool { return s.ready(s.instanceNames...) })
	l.stopAndCheck()
}

// sendMany sends count copies of a request with different ids concurrently and returns a channel with
// their answers. If the process of the instance is suspended, it reads the requests from its sockets
// when it continues.
func (s *system) sendMany(at string, count int, r request) <-chan answer {
	answers := make(chan answer, count)
	for i := range count {
		r := r
		r.at, r.id = at, fmt.Sprint(r.id, "-", i)
		go func() { answers <- s.send(r) }()
	}
	return answers
}

// Suspends the leader until its lease has expired and the configuration has changed. Guards against
// a leader that then continues to lead, admits requests under its old configuration, or accepts
// changes from operators. Fencing is disabled, so the targets would run whatever it dispatches.
func TestStoppedLeader(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{NoFencing: true})
	leader, term := s.leader()
	s.signal(leader, syscall.SIGSTOP)
	other := s.others(leader)[0]
	deleteClubs := `{"id": "gone", "operator": "ada", "base": 1, "delete": [{"kind": "account", "name": "clubs"}]}`
	assert.Equal(t, s.publish(other, deleteClubs).Revision, 2)
	for i := range 5 {
		assert.Equal(t, s.publish(other, accountChange(fmt.Sprint("n", i), i+2)).Revision, i+3)
	}
	answers := s.sendMany(leader, 30, request{id: "old", account: "clubs", timeout: "50", body: "x"})
	late := make(chan int, 1)
	go func() {
		status, _ := s.postChange(leader, accountChange("late", 1))
		late <- status
	}()
	s.signal(leader, syscall.SIGCONT)
	s.eventually("the former leader is ready again", func() bool {
		a := s.send(request{at: leader, id: "direct", account: "clubs", timeout: "50", body: "x"})
		assert.Equal(t, a.outcome, "not-run", "a request of a deleted account")
		status, ok := s.status(leader)
		assert.Assert(t, !ok || !status.HasLease || status.Revision == 7, "leased with revision %d", status.Revision)
		assert.Assert(t, !ok || status.Voter.Term > term || !status.Voter.HasQuorum, "the former leader still leads in term %d", term)
		return ok && status.Ready
	})
	for range 30 {
		assert.Equal(t, (<-answers).outcome, "not-run", "a request of a deleted account")
	}
	assert.Assert(t, <-late != http.StatusOK, "a change was accepted although its base revision is outdated")
	for i := range 30 {
		assert.Equal(t, s.runCount("clubs", fmt.Sprint("old-", i)), 0)
	}
	assert.Equal(t, s.runCount("clubs", "direct"), 0)
	status, _ := s.status(leader)
	assert.Equal(t, int(status.Revision), 7)
}

// Suspends the owner of a target until another instance has taken the target over. Guards against
// an owner that then dispatches requests to the slots that it still counts as free. Fencing is
// disabled, so only the expired lease of the owner prevents this.
func TestStoppedOwner(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{NoFencing: true})
	leader, _ := s.leader()
	stopped := s.others(leader)[0]
	target := ""
	for _, name := range s.instanceNames {
		if s.adoptedBy("t-"+name, stopped) != "" {
			target = "t-" + name
		}
	}
	assert.Assert(t, target != "", "%s owns no target", stopped)
	early := s.sendMany(stopped, 40, request{id: "early", repeatable: "no", work: "400", timeout: "30000", body: "early"})
	s.eventually("all slots are in use and requests wait", func() bool {
		status, ok := s.status(stopped)
		return ok && status.Admitted >= 30 && s.runningRequests() >= 20
	})
	s.signal(stopped, syscall.SIGSTOP)
	others := s.others(stopped)
	s.eventually("another instance has the target", func() bool { return s.adoptedBy(target, others...) != "" })
	var fill []<-chan answer
	for _, name := range others {
		fill = append(fill, s.sendMany(name, 24, request{id: "fill-" + name, work: "1500", timeout: "20000", body: "fill"}))
	}
	s.eventually("the target is full", func() bool { return s.targets[target].Stats().Running == 8 })
	woken := s.sendMany(stopped, 16, request{id: "woken", timeout: "60", work: "500", body: "woken"})
	s.signal(stopped, syscall.SIGCONT)
	for i := range 16 {
		a := <-woken
		assert.Equal(t, a.outcome, "not-run", a.code)
		assert.Equal(t, s.runCount("agency", fmt.Sprint("woken-", i)), 0)
	}
	for range 40 {
		a := <-early
		runs := s.runCount("agency", a.id)
		assert.Assert(t, runs <= 1, "%v ran %d times", a, runs)
		assert.Assert(t, a.outcome != "not-run" || runs == 0, "%v ran", a)
		assert.Assert(t, a.outcome != "done" || runs == 1 && a.body == "early", "%v ran %d times", a, runs)
	}
	for _, answers := range fill {
		for range 24 {
			// This test accepts requests that are refused. TestOwnerStopsUnderLoad checks that in the
			// same situation all requests are done.
			a := <-answers
			runs := s.runCount("agency", a.id)
			assert.Assert(t, a.outcome == "done" && a.body == "fill" && runs == 1 || a.outcome == "not-run" && runs == 0, "%v ran %d times", a, runs)
		}
	}
	s.checkLimits()
	s.eventually("the former owner is ready again", func() bool { return s.ready(stopped) })
}

// Guards against requests that are refused long before their deadline, although they only need to
// wait. The requests arrive while all slots are in use and the targets of a suspended owner are
// reassigned to other instances.
func TestOwnerStopsUnderLoad(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	leader, _ := s.leader()
	stopped := s.others(leader)[0]
	s.sendMany(stopped, 40, request{id: "early", repeatable: "no", work: "400", timeout: "30000", body: "early"})
	s.eventually("all slots are in use", func() bool { return s.runningRequests() >= 20 })
	s.signal(stopped, syscall.SIGSTOP)
	var fill []<-chan answer
	for _, name := range s.others(stopped) {
		fill = append(fill, s.sendMany(name, 24, request{id: "fill-" + name, work: "1500", timeout: "20000", body: "fill"}))
	}
	s.eventually("other instances have the targets", func() bool { return s.allAdopted(3, s.others(stopped)...) })
	s.signal(stopped, syscall.SIGCONT)
	for _, answers := range fill {
		for range 24 {
			a := <-answers
			assert.Equal(t, a.outcome+" "+a.body, "done fill", "%s: %s", a.code, a.detail)
		}
	}
}

// Kills all instances at once while changes are being published. Guards against the loss of
// accepted changes, even those accepted immediately before, and of the recorded ids of
// non-repeatable requests.
func TestKillAll(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	once := request{at: "i1", id: "once", repeatable: "no", body: "once"}
	assert.Equal(t, s.send(once).outcome, "done")
	var accepted atomic.Int64 // the highest revision whose change was accepted
	accepted.Store(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for revision := 1; ; revision++ {
			var result changeResult
			body := accountChange(fmt.Sprint("n", revision), revision)
			status := s.call(http.MethodPost, s.instanceNames[revision%3], "/v1/config/changes", body, &result)
			if status != http.StatusOK || result.Revision != revision+1 {
				return // the instances were killed
			}
			accepted.Store(int64(result.Revision))
		}
	}()
	s.eventually("hundreds of changes are accepted", func() bool { return accepted.Load() > 300 })
	s.kill(s.instanceNames...)
	<-ended
	for _, name := range s.instanceNames {
		s.start(name)
	}
	s.eventually("all instances are ready again", func() bool { return s.ready(s.instanceNames...) })
	for _, name := range s.instanceNames {
		var config struct {
			Revision int
			Objects  []struct{ Kind, Name string }
		}
		assert.Equal(t, s.call(http.MethodGet, name, "/v1/config", "", &config), http.StatusOK)
		names := map[string]bool{}
		for _, object := range config.Objects {
			names[object.Name] = true
		}
		for revision := 1; revision < int(accepted.Load()); revision++ {
			assert.Assert(t, names[fmt.Sprint("n", revision)], "%s lost the change of revision %d of %d", name, revision+1, accepted.Load())
		}
		// The change that was in flight when the instances were killed may have been committed too.
		assert.Assert(t, config.Revision-int(accepted.Load()) <= 1)
	}
	s.eventually("targets are adopted", func() bool { return s.allAdopted(3) })
	once.at = "i3"
	a := s.send(once)
	assert.Assert(t, a.outcome == "done" || a.outcome == "unknown", a.outcome)
	assert.Equal(t, s.runCount("agency", "once"), 1)
}

// Restarts an instance after its data directory was deleted. Guards against an instance that still
// counts as the voter that it was before, although it has lost the log, or that does not become a new
// voter. Afterwards a second instance is killed, so that the test fails if the new voter did not
// receive all changes.
func TestRemovedDataDirectory(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	leader, _ := s.leader()
	emptied, second := s.others(leader)[0], s.others(leader)[1]
	revision := 1
	for ; revision < 20; revision++ {
		assert.Equal(t, s.publish(leader, accountChange(fmt.Sprint("n", revision), revision)).Revision, revision+1)
	}
	s.kill(emptied)
	assert.NilError(t, os.RemoveAll(s.processes[emptied].settings.DataDir))
	s.start(emptied)
	s.eventually("a new voter replaces the lost one", func() bool {
		status, ok := s.status(emptied)
		return ok && status.Ready && status.Voter.IsVoter && len(status.Voter.Voters) == 3
	})
	s.kill(second)
	s.eventually("a change is accepted after the second loss", func() bool {
		for _, name := range []string{leader, emptied} {
			if status, result := s.postChange(name, accountChange("second", revision)); status == http.StatusOK {
				return result.Revision == revision+1
			}
		}
		return false
	})
	s.start(second)
	s.eventually("the second voter is ready again", func() bool { return s.ready(second) })
	s.kill(leader)
	s.eventually("the last change is in force without the first leader", func() bool {
		status, ok := s.status(emptied)
		return ok && status.Ready && int(status.Revision) == revision+1
	})
}

// Guards against a graceful shutdown that aborts requests, whether they are running or waiting for
// a slot.
func TestTerminate(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	leader, _ := s.leader()
	for _, name := range []string{s.others(leader)[0], leader} {
		var answers []<-chan answer
		for _, repeatable := range []string{"yes", "no"} {
			answers = append(answers, s.sendMany(name, 18, request{
				id: name + repeatable, repeatable: repeatable, work: "700", timeout: "30000", body: "kept",
			}))
		}
		s.eventually("all slots are in use and requests wait", func() bool {
			status, ok := s.status(name)
			return ok && status.Admitted == 36 && s.runningRequests() >= 8
		})
		s.signal(name, syscall.SIGTERM)
		for _, kind := range answers {
			for range 18 {
				a := <-kind
				assert.Equal(t, a.outcome+" "+a.body, "done kept", "%s: %s", a.code, a.detail)
			}
		}
		assert.Equal(t, s.waitExit(name), 0)
		s.start(name)
		s.eventually("all instances are ready and own the targets", func() bool { return s.ready(s.instanceNames...) && s.allAdopted(3) })
	}
	for _, repeatable := range []string{"yes", "no"} {
		for i := range 18 {
			assert.Equal(t, s.runCount("agency", fmt.Sprint(leader, repeatable, "-", i)), 1)
		}
	}
	s.checkLimits()
}

// Guards against an instance that still waits for requests after a second SIGTERM, and against exit
// code 0 although requests were aborted.
func TestTerminateTwice(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	leader, _ := s.leader()
	name := s.others(leader)[0]
	s.sendMany(name, 1, request{id: "long", work: "50000", timeout: "60000", body: "x"})
	s.eventually("the request runs", func() bool { return s.runningRequests() == 1 })
	s.signal(name, syscall.SIGTERM)
	s.eventually("the instance drains", func() bool {
		status, ok := s.status(name)
		return ok && status.Draining
	})
	s.signal(name, syscall.SIGTERM)
	assert.Assert(t, s.waitExit(name) != 0, "exit code 0 although a request was aborted")
	ran := 0
	for _, target := range s.targets {
		ran += target.RunCount("agency", anvilid.RequestID("long-0")) - target.Stats().Answered
	}
	assert.Equal(t, ran, 1, "the instance waited until the request ended")
}

// Kills an instance that is shutting down gracefully, or suspends it for longer than its lease. Guards
// against non-repeatable requests that run twice, and against overloaded targets.
func TestDrainIsDisturbed(t *testing.T) {
	for name, disturb := range map[string]func(*system, string){
		"killed": func(s *system, name string) { s.kill(name) },
		"stopped": func(s *system, name string) {
			s.signal(name, syscall.SIGSTOP)
			s.eventually("other instances have the targets", func() bool { return s.allAdopted(3, s.others(name)...) })
			s.signal(name, syscall.SIGCONT)
			s.waitExit(name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startThreeInstances(t, anviltarget.Settings{NoFencing: true})
			leader, _ := s.leader()
			drained := s.others(leader)[0]
			answers := s.sendMany(drained, 36, request{id: "n", repeatable: "no", work: "1500", timeout: "30000", body: "x"})
			s.eventually("all slots are in use", func() bool { return s.runningRequests() >= 20 })
			s.signal(drained, syscall.SIGTERM)
			s.eventually("the instance drains", func() bool {
				status, ok := s.status(drained)
				return ok && status.Draining
			})
			disturb(s, drained)
			s.eventually("other instances have the targets", func() bool { return s.allAdopted(3, s.others(drained)...) })
			for range 36 {
				first := <-answers
				again := s.send(request{at: leader, id: first.id, repeatable: "no", timeout: "30000", work: "10", body: "x"})
				runs := s.runCount("agency", first.id)
				assert.Assert(t, runs <= 1, "%v, then %v: ran %d times", first, again, runs)
				assert.Assert(t, again.outcome != "done" || runs == 1, "%v, then %v: ran %d times", first, again, runs)
			}
			s.checkLimits()
		})
	}
}

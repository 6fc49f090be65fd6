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

// load sends requests from many callers until it is stopped.
type load struct {
	s     *system
	stop  atomic.Bool
	done  atomic.Int64
	group sync.WaitGroup
	mu    sync.Mutex
	wrong []string
}

func (s *system) startLoad(callers int) *load {
	l := &load{s: s}
	for caller := range callers {
		l.group.Go(func() {
			for i := 0; !l.stop.Load(); i++ {
				l.one(caller, i)
			}
		})
	}
	return l
}

// resendPause spreads six tries over more than a lease of 900 ms.
const resendPause = 300 * time.Millisecond

// one sends a request and resends it to the other instances until it is done
// or its outcome stays unknown, and compares the answers with what ran.
func (l *load) one(caller, i int) {
	r := request{id: fmt.Sprintf("r-%d-%d", caller, i), repeatable: "yes", timeout: "4000", work: "20"}
	r.body = "body of " + r.id
	if i%4 == 0 {
		r.work = "2000" // longer than a lease, so that it runs across a change of owner
	}
	if (caller+i)%2 == 0 {
		r.repeatable = "no"
	}
	refused := true
	for try := range 6 {
		r.at = l.s.order[(caller+i+try)%len(l.s.order)]
		a := l.s.send(r)
		refused = refused && a.outcome == "not-run"
		if a.outcome == "done" {
			l.done.Add(1)
			l.check(a.body == r.body, "request %s got %q", r.id, a.body)
			l.check(l.s.ran("agency", r.id) > 0, "request %s has an answer and didn't run", r.id)
			break
		}
		if a.outcome != "not-run" {
			// The later tries fall after the expiry of a killed holder.
			time.Sleep(resendPause)
		}
	}
	runs := l.s.ran("agency", r.id)
	l.check(r.repeatable == "yes" || runs <= 1, "request %s may not be repeated and ran %d times", r.id, runs)
	l.check(!refused || runs == 0, "request %s was always \"not run\" and ran", r.id)
}

func (l *load) check(ok bool, format string, args ...any) {
	if ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, fmt.Sprintf(format, args...))
}

// more waits until more requests are done.
func (l *load) more(count int64) {
	l.s.t.Helper()
	from := l.done.Load()
	l.s.eventually("more requests are done", func() bool { return l.done.Load() >= from+count })
}

// end stops the callers and checks what they saw.
func (l *load) end() {
	l.s.t.Helper()
	l.stop.Store(true)
	l.group.Wait()
	l.s.eventually("all requests have ended", func() bool { return l.s.running() == 0 })
	assert.DeepEqual(l.s.t, l.wrong, []string(nil))
	for name, target := range l.s.targets {
		for _, count := range target.Requests(2) {
			l.s.t.Logf("%s ran %s %d times", name, count.ID, count.Count)
		}
	}
	l.s.checkLimits()
}

// Guards against wrong answers, second runs of requests that may not be
// repeated and overloaded targets when an owner, and then the leader, is
// killed with requests on it and comes back.
func TestKillUnderLoad(t *testing.T) {
	s := three(t, anviltarget.Settings{NoFencing: true})
	l := s.startLoad(48)
	l.more(50)
	leader, _ := s.leader()
	owner := s.others(leader)[0]
	s.kill(owner)
	l.more(50)
	s.eventually("the targets have new owners", func() bool { return s.adopted(3, s.others(owner)...) })
	s.start(owner)
	s.eventually("the killed instance is back", func() bool { return s.ready(owner) })
	leader, _ = s.leader()
	s.kill(leader)
	l.more(50)
	s.start(leader)
	s.eventually("all instances are ready", func() bool { return s.ready(s.order...) })
	l.end()
}

// waiting sends requests to a stopped process, which finds them in its
// sockets when it wakes.
func (s *system) waiting(at string, count int, r request) <-chan answer {
	answers := make(chan answer, count)
	for i := range count {
		r := r
		r.at, r.id = at, fmt.Sprint(r.id, "-", i)
		go func() { answers <- s.send(r) }()
	}
	return answers
}

// Guards against a leader that wakes up after its lease and still admits
// under its old configuration, answers operators or leads on. Targets without
// fencing would run what it dispatches.
func TestStoppedLeader(t *testing.T) {
	s := three(t, anviltarget.Settings{NoFencing: true})
	leader, term := s.leader()
	s.signal(leader, syscall.SIGSTOP)
	other := s.others(leader)[0]
	gone := `{"id": "gone", "operator": "ada", "base": 1, "delete": [{"kind": "account", "name": "clubs"}]}`
	assert.Equal(t, s.publish(other, gone).Revision, 2)
	for i := range 5 {
		assert.Equal(t, s.publish(other, setAccount(fmt.Sprint("n", i), i+2)).Revision, i+3)
	}
	answers := s.waiting(leader, 30, request{id: "old", account: "clubs", timeout: "50", body: "x"})
	late := make(chan int, 1)
	go func() {
		status, _ := s.change(leader, setAccount("late", 1))
		late <- status
	}()
	s.signal(leader, syscall.SIGCONT)
	s.eventually("the former leader is ready again", func() bool {
		a := s.send(request{at: leader, id: "direct", account: "clubs", timeout: "50", body: "x"})
		assert.Equal(t, a.outcome, "not-run", "a request of a deleted account")
		status, ok := s.status(leader)
		assert.Assert(t, !ok || !status.HasLease || status.Revision == 7, "leased with revision %d", status.Revision)
		assert.Assert(t, !ok || status.Voter.Term > term || !status.Voter.HasQuorum, "leads on in term %d", term)
		return ok && status.Ready
	})
	for range 30 {
		assert.Equal(t, (<-answers).outcome, "not-run", "a request of a deleted account")
	}
	assert.Assert(t, <-late != http.StatusOK, "a change was accepted under a revision of the past")
	for i := range 30 {
		assert.Equal(t, s.ran("clubs", fmt.Sprint("old-", i)), 0)
	}
	assert.Equal(t, s.ran("clubs", "direct"), 0)
	status, _ := s.status(leader)
	assert.Equal(t, int(status.Revision), 7)
}

// Guards against an owner that wakes up after another instance has taken its
// target over, and fills the slots that it counted as free. The target takes
// part in no fencing, so only the lease protects it.
func TestStoppedOwner(t *testing.T) {
	s := three(t, anviltarget.Settings{NoFencing: true})
	leader, _ := s.leader()
	stopped := s.others(leader)[0]
	target := ""
	for _, name := range s.order {
		if s.owner("t-"+name, stopped) != "" {
			target = "t-" + name
		}
	}
	assert.Assert(t, target != "", "%s owns no target", stopped)
	early := s.waiting(stopped, 40, request{id: "early", repeatable: "no", work: "400", timeout: "30000", body: "early"})
	s.eventually("all slots are in use and requests wait", func() bool {
		status, ok := s.status(stopped)
		return ok && status.Admitted >= 30 && s.running() >= 20
	})
	s.signal(stopped, syscall.SIGSTOP)
	others := s.others(stopped)
	s.eventually("another instance has the target", func() bool { return s.owner(target, others...) != "" })
	var fill []<-chan answer
	for _, name := range others {
		fill = append(fill, s.waiting(name, 24, request{id: "fill-" + name, work: "1500", timeout: "20000", body: "fill"}))
	}
	s.eventually("the target is full", func() bool { return s.targets[target].Stats().Running == 8 })
	woken := s.waiting(stopped, 16, request{id: "woken", timeout: "60", work: "500", body: "woken"})
	s.signal(stopped, syscall.SIGCONT)
	for i := range 16 {
		a := <-woken
		assert.Equal(t, a.outcome, "not-run", a.code)
		assert.Equal(t, s.ran("agency", fmt.Sprint("woken-", i)), 0)
	}
	for range 40 {
		a := <-early
		runs := s.ran("agency", a.id)
		assert.Assert(t, runs <= 1, "%v ran %d times", a, runs)
		assert.Assert(t, a.outcome != "not-run" || runs == 0, "%v ran", a)
		assert.Assert(t, a.outcome != "done" || runs == 1 && a.body == "early", "%v ran %d times", a, runs)
	}
	for _, answers := range fill {
		for range 24 {
			// TestOwnerStopsUnderLoad checks that they are done.
			a := <-answers
			runs := s.ran("agency", a.id)
			assert.Assert(t, a.outcome == "done" && a.body == "fill" && runs == 1 || a.outcome == "not-run" && runs == 0, "%v ran %d times", a, runs)
		}
	}
	s.checkLimits()
	s.eventually("the owner is back", func() bool { return s.ready(stopped) })
}

// Guards against requests that are refused long before their deadline while
// the targets of a stopped owner change hands and all slots are in use.
func TestOwnerStopsUnderLoad(t *testing.T) {
	s := three(t, anviltarget.Settings{})
	leader, _ := s.leader()
	stopped := s.others(leader)[0]
	s.waiting(stopped, 40, request{id: "early", repeatable: "no", work: "400", timeout: "30000", body: "early"})
	s.eventually("all slots are in use", func() bool { return s.running() >= 20 })
	s.signal(stopped, syscall.SIGSTOP)
	var fill []<-chan answer
	for _, name := range s.others(stopped) {
		fill = append(fill, s.waiting(name, 24, request{id: "fill-" + name, work: "1500", timeout: "20000", body: "fill"}))
	}
	s.eventually("other instances have the targets", func() bool { return s.adopted(3, s.others(stopped)...) })
	s.signal(stopped, syscall.SIGCONT)
	for _, answers := range fill {
		for range 24 {
			a := <-answers
			assert.Equal(t, a.outcome+" "+a.body, "done fill", "%s: %s", a.code, a.detail)
		}
	}
}

// Guards against accepted changes and claims that don't survive the death of
// every process, also of changes that were accepted just before.
func TestKillAll(t *testing.T) {
	s := three(t, anviltarget.Settings{})
	once := request{at: "i1", id: "once", repeatable: "no", body: "once"}
	assert.Equal(t, s.send(once).outcome, "done")
	var accepted atomic.Int64 // the highest revision whose change was accepted
	accepted.Store(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for revision := 1; ; revision++ {
			var result applied
			body := setAccount(fmt.Sprint("n", revision), revision)
			status := s.call(http.MethodPost, s.order[revision%3], "/v1/config/changes", body, &result)
			if status != http.StatusOK || result.Revision != revision+1 {
				return // killed
			}
			accepted.Store(int64(result.Revision))
		}
	}()
	s.eventually("hundreds of changes are accepted", func() bool { return accepted.Load() > 300 })
	s.kill(s.order...)
	<-ended
	for _, name := range s.order {
		s.start(name)
	}
	s.eventually("all are back", func() bool { return s.ready(s.order...) })
	for _, name := range s.order {
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
		// The change that was under way at the kill may have been accepted.
		assert.Assert(t, config.Revision-int(accepted.Load()) <= 1)
	}
	s.eventually("targets are adopted", func() bool { return s.adopted(3) })
	once.at = "i3"
	a := s.send(once)
	assert.Assert(t, a.outcome == "done" || a.outcome == "unknown", a.outcome)
	assert.Equal(t, s.ran("agency", "once"), 1)
}

// Guards against an instance with an empty data directory that counts as the
// voter it was before, or that doesn't get a vote again, and against changes
// that are lost with a second instance right after the repair.
func TestRemovedDataDirectory(t *testing.T) {
	s := three(t, anviltarget.Settings{})
	leader, _ := s.leader()
	empty, second := s.others(leader)[0], s.others(leader)[1]
	revision := 1
	for ; revision < 20; revision++ {
		assert.Equal(t, s.publish(leader, setAccount(fmt.Sprint("n", revision), revision)).Revision, revision+1)
	}
	s.kill(empty)
	assert.NilError(t, os.RemoveAll(s.processes[empty].settings.DataDir))
	s.start(empty)
	s.eventually("a new voter replaces the lost one", func() bool {
		status, ok := s.status(empty)
		return ok && status.Ready && status.Voter.IsVoter && len(status.Voter.Voters) == 3
	})
	s.kill(second)
	s.eventually("a change is accepted after the second loss", func() bool {
		for _, name := range []string{leader, empty} {
			if status, result := s.change(name, setAccount("second", revision)); status == http.StatusOK {
				return result.Revision == revision+1
			}
		}
		return false
	})
	s.start(second)
	s.eventually("the second voter is back", func() bool { return s.ready(second) })
	s.kill(leader)
	s.eventually("the last change is in force without the first leader", func() bool {
		status, ok := s.status(empty)
		return ok && status.Ready && int(status.Revision) == revision+1
	})
}

// Guards against a graceful end that cuts requests off, whether they run or
// wait for a slot.
func TestTerminate(t *testing.T) {
	s := three(t, anviltarget.Settings{})
	leader, _ := s.leader()
	for _, name := range []string{s.others(leader)[0], leader} {
		var answers []<-chan answer
		for _, repeatable := range []string{"yes", "no"} {
			answers = append(answers, s.waiting(name, 18, request{
				id: name + repeatable, repeatable: repeatable, work: "700", timeout: "30000", body: "kept",
			}))
		}
		s.eventually("all slots are in use and requests wait", func() bool {
			status, ok := s.status(name)
			return ok && status.Admitted == 36 && s.running() >= 8
		})
		s.signal(name, syscall.SIGTERM)
		for _, kind := range answers {
			for range 18 {
				a := <-kind
				assert.Equal(t, a.outcome+" "+a.body, "done kept", "%s: %s", a.code, a.detail)
			}
		}
		assert.Equal(t, s.exit(name), 0)
		s.start(name)
		s.eventually("all are back", func() bool { return s.ready(s.order...) && s.adopted(3) })
	}
	for _, repeatable := range []string{"yes", "no"} {
		for i := range 18 {
			assert.Equal(t, s.ran("agency", fmt.Sprint(leader, repeatable, "-", i)), 1)
		}
	}
	s.checkLimits()
}

// Guards against a second signal that waits for requests, and against an exit
// code that hides that some were cut off.
func TestTerminateTwice(t *testing.T) {
	s := three(t, anviltarget.Settings{})
	leader, _ := s.leader()
	name := s.others(leader)[0]
	s.waiting(name, 1, request{id: "long", work: "50000", timeout: "60000", body: "x"})
	s.eventually("the request runs", func() bool { return s.running() == 1 })
	s.signal(name, syscall.SIGTERM)
	s.eventually("the instance drains", func() bool {
		status, ok := s.status(name)
		return ok && status.Draining
	})
	s.signal(name, syscall.SIGTERM)
	assert.Assert(t, s.exit(name) != 0, "exit code 0 although a request was cut off")
	ran := 0
	for _, target := range s.targets {
		ran += target.RunCount("agency", anvilid.RequestID("long-0")) - target.Stats().Answered
	}
	assert.Equal(t, ran, 1, "the instance waited for the request")
}

// Guards against second runs and overloaded targets when an instance that
// drains is killed, or stops for longer than its lease.
func TestDrainIsDisturbed(t *testing.T) {
	for name, disturb := range map[string]func(*system, string){
		"killed": func(s *system, name string) { s.kill(name) },
		"stopped": func(s *system, name string) {
			s.signal(name, syscall.SIGSTOP)
			s.eventually("other instances have the targets", func() bool { return s.adopted(3, s.others(name)...) })
			s.signal(name, syscall.SIGCONT)
			s.exit(name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := three(t, anviltarget.Settings{NoFencing: true})
			leader, _ := s.leader()
			drained := s.others(leader)[0]
			answers := s.waiting(drained, 36, request{id: "n", repeatable: "no", work: "1500", timeout: "30000", body: "x"})
			s.eventually("all slots are in use", func() bool { return s.running() >= 20 })
			s.signal(drained, syscall.SIGTERM)
			s.eventually("the instance drains", func() bool {
				status, ok := s.status(drained)
				return ok && status.Draining
			})
			disturb(s, drained)
			s.eventually("other instances have the targets", func() bool { return s.adopted(3, s.others(drained)...) })
			for range 36 {
				first := <-answers
				again := s.send(request{at: leader, id: first.id, repeatable: "no", timeout: "30000", work: "10", body: "x"})
				runs := s.ran("agency", first.id)
				assert.Assert(t, runs <= 1, "%v, then %v: ran %d times", first, again, runs)
				assert.Assert(t, again.outcome != "done" || runs == 1, "%v, then %v: ran %d times", first, again, runs)
			}
			s.checkLimits()
		})
	}
}

package anvilqueue

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// The seed of the property tests is fixed; the command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000")

// TestQueue guards against lost or duplicated requests, queues longer than their limit, requests
// started after their deadline, and long requests that use more than their share of the slots.
func TestQueue(t *testing.T) {
	const bound, slots, longSlots = 5, 8, 2
	rapid.Check(t, func(t *rapid.T) {
		q := New(WithMaxPerAccount(bound))
		q.SetSlots(slots)
		now := anvilclock.Hour
		addHistory(q)
		var waits []*Ticket
		perAccount := map[anvilid.AccountID]int{}
		leave := func(ticket *Ticket) {
			i := slices.Index(waits, ticket)
			assert.Assert(t, i >= 0, "a request left twice, or was never pushed")
			waits = slices.Delete(waits, i, i+1)
			perAccount[ticket.Account]--
		}
		var runs []*Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 13).Draw(t, "step"); {
			case step == 0:
				now += anvilclock.Millis(rapid.IntRange(0, 200).Draw(t, "advance"))
			case step == 1 && len(waits) > 0:
				ticket := rapid.SampledFrom(waits).Draw(t, "cancelled")
				assert.Assert(t, q.Cancel(now, ticket))
				assert.Assert(t, !q.Cancel(now, ticket))
				leave(ticket)
			case step <= 3 && len(runs) > 0:
				took := anvilclock.Millis(5)
				if runs[0].Kind == "replan" {
					took = 500
				}
				q.Done(max(now, runs[0].started+took), runs[0], true)
				runs = runs[1:]
			case step <= 6 && len(runs) < slots:
				ticket := q.Pop(now)
				for _, late := range q.TakeDropped() {
					assert.Assert(t, late.Deadline-now < 1000)
					leave(late)
				}
				if ticket == nil {
					break
				}
				leave(ticket)
				assert.Assert(t, now < ticket.Deadline, "started past the deadline")
				runs = append(runs, ticket)
				long := 0
				for _, run := range runs {
					if run.class == Long {
						long++
					}
				}
				assert.Assert(t, long <= longSlots, "%d long requests run", long)
			default:
				account := anvilid.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"))
				kind := rapid.SampledFrom([]string{"", "", "replan"}).Draw(t, "kind")
				deadline := now + anvilclock.Millis(rapid.IntRange(1, 3000).Draw(t, "timeout"))
				ticket, verdict := q.Push(now, Request{Account: account, Kind: kind, Deadline: deadline})
				assert.Equal(t, ticket != nil, verdict == Queued)
				if ticket != nil {
					waits = append(waits, ticket)
					perAccount[account]++
				}
				assert.Assert(t, perAccount[account] <= bound)
			}
			assert.Equal(t, q.Len(), len(waits))
		}
	})
}

// addHistory runs 18 requests of 5 ms without a kind and 6 of 500 ms with the kind "replan", so that
// the queue knows their durations.
func addHistory(q *Queue) {
	for i := range 24 {
		kind, took := "", anvilclock.Millis(5)
		if i >= 18 {
			kind, took = "replan", 500
		}
		q.Push(0, Request{Account: "a", Kind: kind, Deadline: anvilclock.Hour})
		q.Done(took, q.Pop(0), true)
	}
}

// TestRefusedAtOnce guards against requests that wait until their deadline although it was clear at
// arrival that they could not finish.
func TestRefusedAtOnce(t *testing.T) {
	q := New()
	addHistory(q)
	now := anvilclock.Millis(1000)
	for range 100 {
		q.Push(now, Request{Account: "a", Deadline: anvilclock.Hour})
	}
	for range 40 { // one slot, 5 ms each
		ticket := q.Pop(now)
		now += 5
		q.Done(now, ticket, true)
	}
	for timeout, want := range map[anvilclock.Millis]Verdict{3: DeadlineTooShort, 300: WaitTooLong, 900: Queued} {
		ticket, verdict := q.Push(now, Request{Account: "a", Deadline: now + timeout})
		assert.Equal(t, verdict, want, "%d ms, expected wait %d ms", timeout, q.ExpectedWait(now, "a"))
		if ticket != nil {
			q.Cancel(now, ticket)
		}
	}
}

// TestNewKind guards against a kind of unknown duration that takes all slots before its first request
// has ended, and against refusing its requests because of the durations of other kinds.
func TestNewKind(t *testing.T) {
	q := New()
	q.SetSlots(8)
	addHistory(q)
	for range 10 {
		q.Push(0, Request{Account: "b", Deadline: anvilclock.Hour})
	}
	popped := 0
	for q.Pop(0) != nil {
		popped++
	}
	assert.Equal(t, popped, maxUnprovenInFlight+2)
	q.Push(0, Request{Account: "a", Deadline: anvilclock.Hour})
	_, verdict := q.Push(0, Request{Account: "c", Deadline: 100})
	assert.Equal(t, verdict, Queued)
}

// TestIdleAccount guards against an account that, after being idle, takes slot time away from the
// accounts that were served meanwhile.
func TestIdleAccount(t *testing.T) {
	q := New()
	push := func(account anvilid.AccountID) {
		q.Push(0, Request{Account: account, Deadline: anvilclock.Hour})
	}
	got := map[anvilid.AccountID]int{}
	for i := range 80 {
		push("busy")
		if i >= 40 {
			push("idle")
		}
		ticket := q.Pop(0)
		q.Done(100, ticket, true)
		if i >= 40 {
			got[ticket.Account]++
		}
	}
	assert.Assert(t, got["idle"] <= 21, "%v", got)
}

func benchmarkQueue(b *testing.B, waiting int, step func(q *Queue, now anvilclock.Millis, account anvilid.AccountID)) {
	q := New(WithMaxPerAccount(waiting))
	var accounts []anvilid.AccountID
	for i := range 100 {
		accounts = append(accounts, anvilid.AccountID(fmt.Sprintf("account-%d", i)))
	}
	for i := range waiting {
		q.Push(0, Request{Account: accounts[i%100], Deadline: anvilclock.Hour})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		step(q, anvilclock.Millis(i/1000), accounts[i%100])
		i++
	}
}

func BenchmarkPushPopDone(b *testing.B) {
	benchmarkQueue(b, 10_000, func(q *Queue, now anvilclock.Millis, account anvilid.AccountID) {
		q.Push(now, Request{Account: account, Deadline: now + anvilclock.Hour})
		q.Done(now+1, q.Pop(now), true)
	})
}

func BenchmarkPushCancel(b *testing.B) {
	benchmarkQueue(b, 10_000, func(q *Queue, now anvilclock.Millis, account anvilid.AccountID) {
		ticket, _ := q.Push(now, Request{Account: account, Deadline: now + anvilclock.Hour})
		q.Cancel(now, ticket)
	})
}

// Guards against a request that loses its position in the queue, or whose account is still charged,
// after the slot for which it was popped turned out to be unavailable.
func TestRequeueKeepsThePlace(t *testing.T) {
	q := New()
	first, _ := q.Push(0, Request{Account: "a", Deadline: 10_000})
	second, _ := q.Push(1, Request{Account: "a", Deadline: 10_000})
	for now := anvilclock.Millis(2); now < 50; now++ {
		assert.Assert(t, q.Pop(now) == first)
		q.Requeue(now, first)
		assert.Equal(t, q.Len(), 2)
	}
	assert.Assert(t, q.Pop(60) == first)
	assert.Assert(t, q.Pop(60) == second)
	q.Requeue(61, second)
	assert.Assert(t, q.Cancel(62, second))
	assert.Equal(t, q.Len(), 0)
}

// Guards against a configured limit on an account's waiting requests (SetMaxPerAccount) that has no
// effect on a queue that already exists.
func TestSetBound(t *testing.T) {
	q := New()
	push := func() Verdict {
		_, verdict := q.Push(0, Request{Account: "a", Deadline: 10_000})
		return verdict
	}
	assert.Equal(t, push(), Queued)
	q.SetMaxPerAccount(1)
	assert.Equal(t, push(), Full)
	q.SetMaxPerAccount(2)
	assert.Equal(t, push(), Queued)
}

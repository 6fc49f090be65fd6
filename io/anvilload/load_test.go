package anvilload

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

func startTarget(t *testing.T, faults anviltarget.Faults) *anviltarget.Target {
	t.Helper()
	target, err := anviltarget.Start(anviltarget.Settings{Target: "t1", Service: "planner", Faults: faults})
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	return target
}

// Guards against a load generator that misses faults or reports false ones: each fault that the
// target injects must show up in the summary, and a target without faults must cause no errors.
func TestLoadJudgesAnswers(t *testing.T) {
	for _, test := range []struct {
		name                     string
		faults                   anviltarget.Faults
		settings                 Settings
		done, mismatched, notRun int
		unknown                  int
	}{
		{"closed loop", anviltarget.Faults{}, Settings{Concurrency: 4, SendIDs: true, BodyBytes: 50, AnswerBytes: -1}, 40, 0, 0, 0},
		{"open loop", anviltarget.Faults{}, Settings{Rate: 2000, SendIDs: true, AnswerBytes: 3000}, 40, 0, 0, 0},
		{"open loop with swing, without ids", anviltarget.Faults{}, Settings{Rate: 200, Poisson: true, Swing: Swing{10, 20}, BodyBytes: 50, AnswerBytes: -1}, 40, 0, 0, 0},
		{"crossed", anviltarget.Faults{Crossed: true, Every: 4}, Settings{Concurrency: 1, SendIDs: true, BodyBytes: 50, AnswerBytes: -1}, 40, 10, 0, 0},
		{"crossed, detected by the id alone", anviltarget.Faults{Crossed: true, Every: 4}, Settings{Concurrency: 1, SendIDs: true, AnswerBytes: -1}, 40, 10, 0, 0},
		{"truncated", anviltarget.Faults{Truncate: true, Every: 4}, Settings{Concurrency: 1, SendIDs: true, BodyBytes: 50, AnswerBytes: -1}, 30, 0, 0, 10},
		{"closed", anviltarget.Faults{Close: true, Every: 4}, Settings{Concurrency: 1, SendIDs: true, AnswerBytes: -1}, 30, 0, 0, 10},
		{"closed, then resent", anviltarget.Faults{Close: true, Count: 2}, Settings{Concurrency: 1, SendIDs: true, MaxResends: 3, AnswerBytes: -1}, 40, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := startTarget(t, test.faults)
			s := test.settings
			s.Addresses, s.Direct, s.MaxCount, s.Duration = []anvilid.Address{target.Address()}, true, 40, 60_000
			var mu sync.Mutex
			var ids []anvilid.RequestID
			summary, err := Run(context.Background(), s, WithObserver(func(r Result) {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, r.ID)
			}))
			assert.NilError(t, err)
			assert.Equal(t, summary.Sent, 40)
			assert.Equal(t, summary.Done, test.done)
			assert.Equal(t, summary.Mismatched, test.mismatched, "%v", summary.Examples)
			assert.Equal(t, summary.Outcomes[NotRun], test.notRun)
			assert.Equal(t, summary.Outcomes[Unknown], test.unknown)
			if s.SendIDs {
				for _, id := range ids {
					assert.Assert(t, target.RunCount("load", id) >= 1, "%s", id)
				}
			}
		})
	}
}

// Guards against counting a request whose connection was refused under the outcome "unknown" instead
// of "not-run".
func TestUnreachableIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := anvilid.Address(listener.Addr().String())
	listener.Close()
	summary, err := Run(context.Background(), Settings{Addresses: []anvilid.Address{address}, Direct: true, Concurrency: 1, MaxCount: 3})
	assert.NilError(t, err)
	assert.Equal(t, summary.Outcomes[NotRun], 3)
	assert.Equal(t, summary.Codes["unreachable"], 3)
}

// Guards against misreading the outcome or the code in the answer of an instance.
func TestInstanceOutcomes(t *testing.T) {
	for _, test := range []struct {
		outcome string
		status  int
		body    string
		want    Outcome
		code    string
	}{
		{"not-run", 429, `{"code": "overloaded"}`, NotRun, "overloaded"},
		{"unknown", 502, `{"code": "lost_answer"}`, Unknown, "lost_answer"},
		{"", 200, `ok`, Unknown, "status_200_without_outcome"},
		{"done", 500, `ok`, Done, "500"},
	} {
		instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.URL.Path == "/v1/services/planner/requests")
			w.Header().Set(headerOutcome, test.outcome)
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		summary, err := Run(context.Background(), Settings{
			Addresses: []anvilid.Address{anvilid.Address(instance.Listener.Addr().String())},
			Service:   "planner", Concurrency: 1, MaxCount: 2, AnswerBytes: -1,
		})
		instance.Close()
		assert.NilError(t, err)
		assert.Equal(t, summary.Outcomes[test.want], 2, "%+v", test)
		assert.Equal(t, summary.Codes[test.code], 2, "%+v", test)
	}
}

// Guards against accepting settings that exceed the limits, are incomplete or contradict each other.
func TestSettingsAreChecked(t *testing.T) {
	address := []anvilid.Address{"127.0.0.1:1"}
	for _, s := range []Settings{
		{Direct: true, Rate: 1},
		{Addresses: address, Rate: 1},
		{Addresses: address, Direct: true},
		{Addresses: address, Direct: true, Rate: 1, Concurrency: 1},
		{Addresses: address, Direct: true, Rate: 1, Duration: maxDuration + 1},
		{Addresses: address, Direct: true, Rate: 1, MaxCount: maxCount + 1},
		{Addresses: address, Direct: true, Rate: 1, MaxResends: 1},
		{Addresses: address, Direct: true, Rate: 1, Repeatable: "maybe"},
	} {
		assert.Assert(t, errors.Is(s.Check(), ErrSettings), "%+v", s)
	}
	_, err := ParseSwing("10x")
	assert.Assert(t, errors.Is(err, ErrSettings))
	swing, err := ParseSwing("10x/2s")
	assert.NilError(t, err)
	assert.Equal(t, swing, Swing{10, 2000})
}

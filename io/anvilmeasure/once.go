package anvilmeasure

import (
	"context"
	"fmt"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilload"
)

// OnceOptions are the options of Once, which measures the latency that a claim of a request id adds to the
// request.
type OnceOptions struct {
	RowDuration time.Duration // how long requests are sent for each row of the table
	Repeats     int           // rows of the table for each instance and kind of request
	Targets     int           // targets in each zone
}

// Once measures the latency that a claim, which makes sure that a request runs at most once, adds to
// the request.
func Once(ctx context.Context, o OnceOptions) (*Table, error) {
	t := &Table{Name: "once: latency of short requests, one caller", Columns: []string{
		"request", "at", "region of the leader", "done", "p50", "p99", "other outcomes",
	}}
	s, err := newSystem(deployment(), newNetSim(false))
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.makeLeader("palermo-1"); err != nil {
		return nil, err
	}
	if err := s.addTargets("t", o.Targets); err != nil {
		return nil, err
	}
	kinds := []struct {
		name       string
		ids        bool
		repeatable string
	}{
		{"repeatable without id", false, "yes"},
		{"repeatable with id", true, "yes"},
		{"not repeatable", true, "no"},
	}
	for _, at := range []string{"palermo-1", "trapani-2", "catania-2"} {
		for n, kind := range kinds {
			for repeat := range o.Repeats {
				summary, err := anvilload.Run(ctx, anvilload.Settings{
					Addresses: []anvilid.Address{s.find(at).settings.Public}, Service: service,
					Shares: []anvilload.Share{{Account: account, Weight: 1}}, Concurrency: 1,
					Duration: anvilclock.FromDuration(o.RowDuration), SendIDs: kind.ids, IDPrefix: fmt.Sprintf("once-%s-%d-%d", at, n, repeat),
					Repeatable: kind.repeatable, BodyBytes: 100, AnswerBytes: -1,
				})
				if err != nil {
					return nil, err
				}
				leaderRegion := "same"
				if s.find(at).region != "west" {
					leaderRegion = "other"
				}
				t.addRow(kind.name, at, leaderRegion, summary.Done, microseconds(summary.Latency.P50),
					microseconds(summary.Latency.P99), summary.Sent-summary.Done)
			}
		}
	}
	t.addNote("Leader palermo-1. Targets answer without delay.")
	return t, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

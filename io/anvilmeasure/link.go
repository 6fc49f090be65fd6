package anvilmeasure

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilload"
)

// LinkOptions are the options of Link, which measures the bytes that an idle system, a configuration
// change and a request send over the link between the two regions.
type LinkOptions struct {
	IdleDuration      time.Duration // time for which the traffic without requests is measured
	Count             int           // changes or requests for each row of the table
	RequestsPerSecond float64       // through one instance at a time
	// Targets is the number of targets in each zone.
	Targets int
}

// linkBytes maps each cause (type of traffic, such as lease renewals) to the number of bytes that it
// sends over the link between the regions, in both directions together.
type linkBytes map[string]float64

// linkBytes returns the sum of the bytes that all instances have counted. Of the two ends of a
// connection, only the instance that opened it counts its bytes, so no byte is counted twice.
func (s *system) linkBytes() (linkBytes, error) {
	sum := linkBytes{}
	for _, i := range s.instances {
		var vars struct {
			Bytes map[string]float64 `json:"link_bytes"`
		}
		if err := s.get(i, "/debug/vars", &vars); err != nil {
			return nil, err
		}
		for name, count := range vars.Bytes {
			cause, _, _ := strings.Cut(name, "_")
			sum[cause] += count
		}
	}
	return sum, nil
}

// linkDuring runs work and returns the bytes that it causes on the link, for each cause: bytes sent while
// work runs - idle * duration of work, where idle is the traffic of the idle system in bytes per second.
func (s *system) linkDuring(idle linkBytes, work func() error) (linkBytes, error) {
	before, err := s.linkBytes()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err := work(); err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	after, err := s.linkBytes()
	if err != nil {
		return nil, err
	}
	for cause := range after {
		after[cause] -= before[cause] + idle[cause]*seconds
	}
	return after, nil
}

func (b linkBytes) String() string {
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(b)) {
		parts = append(parts, fmt.Sprintf("%s %.0f", cause, b[cause]))
	}
	return strings.Join(parts, ", ")
}

func (b linkBytes) per(count int) linkBytes {
	result := linkBytes{}
	for cause, sum := range b {
		result[cause] = sum / float64(count)
	}
	return result
}

func (b linkBytes) total() (sum float64) {
	for _, count := range b {
		sum += count
	}
	return sum
}

// Link measures the bytes that an idle system, a configuration change and a request send over the link
// between the regions.
func Link(ctx context.Context, o LinkOptions) (*Table, error) {
	t := &Table{Name: "link: bytes over the region link, both directions", Columns: []string{"per", "at", "bytes", "by cause"}}
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
	sleep(ctx, time.Second)
	sum, err := s.linkDuring(nil, func() error { sleep(ctx, o.IdleDuration); return nil })
	if err != nil {
		return nil, err
	}
	idle := linkBytes{}
	for cause, count := range sum {
		idle[cause] = count / o.IdleDuration.Seconds()
	}
	t.addRow("second, idle", "", idle.total(), idle)
	rows := []struct {
		name, at   string
		ids        bool
		repeatable string
	}{
		{"request not repeatable", "palermo-2", true, "no"},
		{"request not repeatable", "catania-2", true, "no"},
		{"repeatable request with id", "palermo-2", true, "yes"},
		{"repeatable request with id", "catania-2", true, "yes"},
		{"repeatable request without id", "catania-2", false, "yes"},
	}
	changes, err := s.linkDuring(idle, func() error {
		publisher := newChangePublisher(s, s.find("palermo-2"))
		publisher.run(ctx, 10, time.Duration(o.Count)*time.Second/10)
		if len(publisher.failures) > 0 {
			return fmt.Errorf("a change failed: %s", publisher.failures[0])
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	t.addRow("accepted change", "palermo-2", changes.per(o.Count).total(), changes.per(o.Count))
	for n, r := range rows {
		done := 0
		sum, err := s.linkDuring(idle, func() error {
			summary, err := anvilload.Run(ctx, anvilload.Settings{
				Addresses: []anvilid.Address{s.find(r.at).settings.Public}, Service: service, Shares: []anvilload.Share{{Account: account, Weight: 1}},
				Rate: o.RequestsPerSecond, MaxCount: o.Count, Duration: anvilclock.Minute, SendIDs: r.ids, IDPrefix: fmt.Sprint("link", n),
				Repeatable: r.repeatable, BodyBytes: 100, AnswerBytes: -1,
			})
			if err == nil {
				done = summary.Done
			}
			sleep(ctx, 300*time.Millisecond) // results are replicated after the answer is sent
			return err
		})
		if err != nil {
			return nil, err
		}
		t.addRow(r.name, r.at, sum.per(max(1, done)).total(), sum.per(max(1, done)))
	}
	t.addNote("%d instances, %d targets; leader palermo-1 in region west, changes published at palermo-2 at 10/s, requests at %.0f/s.",
		len(s.instances), len(s.targets), o.RequestsPerSecond)
	t.addNote("Request bodies and answers have 100 bytes. Idle traffic is subtracted from the other rows. TCP and IP headers aren't counted.")
	return t, nil
}

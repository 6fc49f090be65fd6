// Package anviltarget is a stand-in target for tests, the demo and
// measurements. It implements the target side of docs/protocol.md, counts
// true usage, records violations of its own limits without enforcing them,
// and can be told to misbehave.
package anviltarget

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Limits of a worker in the current deployments.
const (
	DefaultSlots        = 8
	DefaultConnections  = 64
	DefaultAccelerators = 8
)

const (
	// maxLoggedRequests bounds the request log and the token fences. It is
	// five times the number of ids that the scheduler keeps, so that a test
	// can still see a run that the scheduler has forgotten.
	maxLoggedRequests = 1_000_000
	// maxBody bounds request and answer bodies.
	maxBody = 64 << 20
	// maxTaskLog bounds the log of finished members.
	maxTaskLog = 100_000
	// endedTaskAge is how long an ended task stays in reports, see
	// docs/protocol.md.
	endedTaskAge = anvilclock.Minute
)

// Settings describe one stand-in target. Zero limits select the defaults.
type Settings struct {
	Target  anvilid.TargetID
	Service anvilid.ServiceName
	Region  anvilid.RegionName
	Zone    anvilid.ZoneName
	Rack    anvilid.RackName

	Slots        anvilid.SlotCount
	Connections  anvilid.ConnectionCount
	Accelerators anvilid.AcceleratorCount

	// Listen is the address to listen on; port 0 selects a free port.
	Listen anvilid.Address
	// Advertise is the address in announcements; the default is the address
	// that is listened on.
	Advertise anvilid.Address
	// Instances receive the announcements in turn. Without instances the
	// target announces nothing.
	Instances []anvilid.Address
	// AnnounceToOwner sends announcements to the owner that the last answer named.
	AnnounceToOwner bool
	// Interval is the time between announcements; the default is 1 s.
	Interval anvilclock.Millis
	// ServiceTime is the service time of requests that don't set one.
	ServiceTime anvilclock.Millis
	// NoFencing makes the target ignore epochs and tokens.
	NoFencing bool
	// Grace bounds the time that leaving waits for running work; 0 means
	// that it waits as long as the work takes.
	Grace anvilclock.Millis
	// Faults that apply from the start.
	Faults Faults
}

func (s *Settings) setDefaults() {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.Connections == 0 {
		s.Connections = DefaultConnections
	}
	if s.Accelerators == 0 {
		s.Accelerators = DefaultAccelerators
	}
	if s.Interval == 0 {
		s.Interval = anvilclock.Second
	}
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
}

// Option changes how a target is built.
type Option func(*Target)

// WithLogger sends log events to logger.
func WithLogger(logger *zap.Logger) Option { return func(t *Target) { t.logger = logger } }

// WithClock replaces the wall clock that stamps start and stop times.
func WithClock(clock anvilclock.Clock) Option { return func(t *Target) { t.clock = clock } }

// WithClient replaces the HTTP client that sends announcements.
func WithClient(client *http.Client) Option { return func(t *Target) { t.client = client } }

// NewClient returns an HTTP client for announcements that several targets
// may share.
func NewClient() *http.Client {
	return &http.Client{
		// An instance that doesn't answer within the announcement interval
		// is skipped, so that a frozen instance delays only one attempt.
		Timeout:   time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second},
	}
}

// Package anviltarget is a stand-in target for tests, the demo and measurements. It
// implements the target side of the protocol in docs/protocol.md. It counts its
// true usage, records violations of its own limits without enforcing them, and
// can inject faults.
//
// The target accepts work from the instance that owns it. An instance becomes
// the owner by adopting the target with an epoch, a number that increases with
// each change of the owner; calls with a lower epoch are rejected. Each piece of
// work also carries a fencing token; calls with an outdated token are rejected.
// Work is either a short request or a task. A task is one member of a gang job,
// and is first prepared, which reserves its accelerators, and then started.
package anviltarget

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Default limits of a stand-in target. A target in the current deployments has the same limits.
const (
	DefaultSlots        = 8
	DefaultConnections  = 64
	DefaultAccelerators = 8
)

const (
	// maxLoggedRequests bounds the number of request ids in the log of runs
	// (requestLog). It is five times the number of ids that the scheduler stores for
	// deduplication, so that a test can still find a run whose id the scheduler has
	// dropped.
	maxLoggedRequests = 1_000_000
	// maxBody bounds the bodies of requests and answers, in bytes.
	maxBody = 64 << 20
	// maxTaskLog bounds the number of ended tasks that are stored for Stats after they
	// are no longer reported to instances.
	maxTaskLog = 100_000
	// endedTaskAge is how long an ended task stays in the target's reports, see
	// docs/protocol.md.
	endedTaskAge = anvilclock.Minute
)

// Settings describe one stand-in target. A limit of 0 selects the default.
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
	// Advertise is the address in announcements. The default is the address
	// on which the target listens.
	Advertise anvilid.Address
	// Instances are the instances to which the target announces itself, one
	// after another. Without instances it sends no announcements.
	Instances []anvilid.Address
	// AnnounceToOwner sends announcements to the instance that owns the target,
	// which the last accepted announcement was answered with. If the owner is unknown
	// or doesn't accept, they go to Instances, one after another.
	AnnounceToOwner bool
	// Interval is the time between announcements; the default is 1 s.
	Interval anvilclock.Millis
	// ServiceTime is how long a request runs if it has no header X-Emu-Time.
	ServiceTime anvilclock.Millis
	// NoFencing makes the target ignore epochs and fencing tokens.
	NoFencing bool
	// Grace bounds how long Leave waits for running requests and tasks. With 0
	// it waits until they end.
	Grace anvilclock.Millis
	// Faults are the faults that are injected from the start.
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

// Option is an option of Start.
type Option func(*Target)

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(t *Target) { t.logger = logger } }

// WithClock replaces the wall clock. The clock determines the incarnation of the target, the
// times in TaskRun, and the age of the usage in reports.
func WithClock(clock anvilclock.Clock) Option { return func(t *Target) { t.clock = clock } }

// WithClient replaces the HTTP client that sends announcements.
func WithClient(client *http.Client) Option { return func(t *Target) { t.client = client } }

// NewClient returns an HTTP client for announcements. Several targets may share it.
func NewClient() *http.Client {
	return &http.Client{
		// The timeout is the default announcement interval, so that an instance that
		// doesn't answer, for example a suspended one, delays only one attempt.
		Timeout:   time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second},
	}
}

package anvilnode

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcall"
)

// Errors of Settings.Check.
var (
	ErrInstance         = errors.New("not an IP address")
	ErrInternalPort     = errors.New("no positive port is given")
	ErrNoSeeds          = errors.New("no voter is given")
	ErrMaxLease         = errors.New("the longest lease must be positive")
	ErrAnnounceInterval = errors.New("the announce interval must be positive")
)

// Settings are the settings of an instance, as its platform gives them.
type Settings struct {
	Instance anvilid.InstanceID // the IP address of the instance
	Zone     anvilid.ZoneName
	Region   anvilid.RegionName
	// CallerAddress, ReadinessAddress and ControlAddress are the addresses to listen on.
	// Those that the role of the process doesn't serve are empty.
	CallerAddress, ReadinessAddress, ControlAddress anvilid.Address
	// InternalPort is the port for calls between instances, the same on all of them.
	InternalPort int
	// ControlPort is the port for operators and targets, the same on all voters.
	ControlPort int
	Seeds       []anvilid.InstanceID
	FirstStart  bool // whether the whole system starts for the first time
	DataDir     string
	MemoryLimit anvilid.ByteCount
	// DescriptorLimit is how many file descriptors the process may have open, or 0 if unknown.
	DescriptorLimit int
	// MaxLostVoters is how many voters the system must tolerate to lose at the same time.
	MaxLostVoters int
	// AnnounceInterval is the interval at which targets announce themselves.
	AnnounceInterval anvilclock.Millis
	// ContactTime and one AnnounceInterval are the time from which on a capacity that has shrunk must not be
	// exceeded. 0 means that the time isn't known.
	ContactTime anvilclock.Millis
	// MaxLease is the longest lease that a target accepts from the leader.
	MaxLease anvilclock.Millis
	// AdviceAddress is the address of the platform's advice service, which returns which
	// workers may run a step of a job, or empty if there is none.
	AdviceAddress anvilid.Address
	// MachinesAddress is the address of the platform's machine service, which lists the host
	// machines and carries out their maintenance, or empty if there is none.
	MachinesAddress anvilid.Address
	// UpkeepDuration is how long a machine is down for its maintenance.
	UpkeepDuration anvilclock.Millis
	// GracePeriod is the time after a request to stop after which the platform kills the
	// process.
	GracePeriod anvilclock.Millis
}

// SetSeeds stores the hosts of the seeds, which are control addresses of voters, and takes the control port of
// all voters from them.
func (s *Settings) SetSeeds(addresses []string) error {
	for _, address := range addresses {
		host, port, err := net.SplitHostPort(address)
		if err != nil {
			return fmt.Errorf("not an address with a port: %w", err)
		}
		if s.ControlPort, err = strconv.Atoi(port); err != nil {
			return fmt.Errorf("port of %q is not a number: %w", address, err)
		}
		s.Seeds = append(s.Seeds, anvilid.InstanceID(host))
	}
	return nil
}

// Check returns the first error in the settings, or nil.
func (s *Settings) Check() error {
	switch {
	case net.ParseIP(string(s.Instance)) == nil:
		return fmt.Errorf("%q: %w", s.Instance, ErrInstance)
	case s.InternalPort <= 0:
		return ErrInternalPort
	case len(s.Seeds) == 0:
		return ErrNoSeeds
	case s.MaxLease <= 0:
		return fmt.Errorf("%d: %w", s.MaxLease, ErrMaxLease)
	case s.AnnounceInterval <= 0:
		return fmt.Errorf("%d: %w", s.AnnounceInterval, ErrAnnounceInterval)
	}
	return nil
}

// maxAnnouncementAge returns how old the latest announcement of a target may be when a run is started there.
// The order to start it may take anvilcall.OrderTimeout.
func (s *Settings) maxAnnouncementAge() anvilclock.Millis {
	if s.ContactTime == 0 {
		return 0
	}
	return max(s.AnnounceInterval, s.ContactTime+s.AnnounceInterval-anvilclock.Millis(anvilcall.OrderTimeout.Milliseconds()))
}

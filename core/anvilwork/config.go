package anvilwork

import (
	"errors"
	"fmt"
	"strings"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// QueueName names a queue.
type QueueName string

// Version orders complete configurations. The highest one is in force.
type Version uint64

// QueuePolicy are what a queue promises and demands for its jobs.
type QueuePolicy struct {
	Service anvilid.ServiceName `cbor:"1,keyasint"`
	// Priority orders queues; 0 comes first and may stop others.
	Priority int `cbor:"2,keyasint,omitempty"`
	// Attempts is how many runs of a task may fail.
	Attempts int `cbor:"3,keyasint,omitempty"`
	// DeadlineFactor times the longest chain of work, and Aim more, is the time in
	// which a job should end.
	DeadlineFactor float64           `cbor:"4,keyasint,omitempty"`
	DeadlineOffset anvilclock.Millis `cbor:"5,keyasint,omitempty"`
	// Advice tells that another service decides which targets may run a step.
	// It is zero where nobody is asked.
	Advice Advice `cbor:"7,keyasint"`
}

// Advice is what is promised of the service that decides where a step may run.
type Advice struct {
	// BaseLatency and PerTarget, for each target named, is how long an answer takes.
	BaseLatency      anvilclock.Millis `cbor:"1,keyasint,omitempty"`
	LatencyPerTarget anvilclock.Millis `cbor:"2,keyasint,omitempty"`
	// Validity is how long a ticket may be used.
	Validity anvilclock.Millis `cbor:"3,keyasint,omitempty"`
}

// Needed reports whether a step needs a ticket.
func (a Advice) Needed() bool { return a.Validity > 0 }

// Ticket allows a step to run on a target.
type Ticket string

// Queue is a place where callers hand jobs in.
type Queue struct {
	Name   QueueName `cbor:"1,keyasint"`
	Host   string    `cbor:"2,keyasint"`
	Prefix string    `cbor:"3,keyasint"`
	// AllowAnonymous tells that calls need no key.
	AllowAnonymous bool              `cbor:"4,keyasint,omitempty"`
	Timeout        anvilclock.Millis `cbor:"5,keyasint,omitempty"`
	Policy         QueuePolicy       `cbor:"6,keyasint"`
}

// Service is a kind of target.
type Service struct {
	Name anvilid.ServiceName `cbor:"1,keyasint"`
}

// Account is a client account with its keys.
type Account struct {
	Name       anvilid.AccountID        `cbor:"1,keyasint"`
	Keys       []string                 `cbor:"2,keyasint,omitempty"`
	Guaranteed anvilid.AcceleratorCount `cbor:"3,keyasint,omitempty"`
}

// Config is one complete configuration.
type Config struct {
	Version  Version   `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	Accounts []Account `cbor:"4,keyasint,omitempty"`
	// Raw is the document as the operator sent it. Reads return it unchanged.
	Raw []byte `cbor:"6,keyasint,omitempty"`
}

// ErrInvalid reports a configuration that must not take effect.
var ErrInvalid = errors.New("invalid configuration")

// Check reports why a configuration must not take effect, if it must not.
func (c *Config) Check() error {
	services := map[anvilid.ServiceName]bool{}
	for _, service := range c.Services {
		if services[service.Name] {
			return fmt.Errorf("%w: service %q appears twice", ErrInvalid, service.Name)
		}
		services[service.Name] = true
	}
	places := map[[2]string]QueueName{}
	for _, queue := range c.Queues {
		place := [2]string{queue.Host, queue.Prefix}
		other, taken := places[place]
		switch {
		case !services[queue.Policy.Service]:
			return fmt.Errorf("%w: queue %q names the unknown service %q", ErrInvalid, queue.Name, queue.Policy.Service)
		case taken:
			return fmt.Errorf("%w: queues %q and %q have the same host and prefix", ErrInvalid, other, queue.Name)
		case queue.Timeout <= 0:
			return fmt.Errorf("%w: queue %q has no timeout", ErrInvalid, queue.Name)
		}
		places[place] = queue.Name
	}
	return c.checkKeys()
}

func (c *Config) checkKeys() error {
	owners := map[string]anvilid.AccountID{}
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			if other, taken := owners[key]; taken {
				return fmt.Errorf("%w: accounts %q and %q share a key", ErrInvalid, other, account.Name)
			}
			owners[key] = account.Name
		}
	}
	return nil
}

// index speeds up lookups in a configuration.
type index struct {
	hosts  map[string][]*Queue
	names  map[QueueName]*Queue
	owners map[string]*Account
	byName map[anvilid.AccountID]*Account
}

func newIndex(c *Config) *index {
	x := &index{
		hosts: map[string][]*Queue{}, names: map[QueueName]*Queue{},
		owners: map[string]*Account{}, byName: map[anvilid.AccountID]*Account{},
	}
	for i := range c.Queues {
		queue := &c.Queues[i]
		x.hosts[queue.Host] = append(x.hosts[queue.Host], queue)
		x.names[queue.Name] = queue
	}
	for i := range c.Accounts {
		account := &c.Accounts[i]
		x.byName[account.Name] = account
		for _, key := range account.Keys {
			x.owners[key] = account
		}
	}
	return x
}

// Route finds the queue with the longest prefix of a path on a host.
func (s *State) Route(host, path string) (*Queue, bool) {
	var best *Queue
	for _, queue := range s.index.hosts[host] {
		if strings.HasPrefix(path, queue.Prefix) && (best == nil || len(queue.Prefix) > len(best.Prefix)) {
			best = queue
		}
	}
	return best, best != nil
}

// AccountByKey finds the account that a key belongs to.
func (s *State) AccountByKey(key string) (*Account, bool) {
	account, ok := s.index.owners[key]
	return account, ok
}

// Account finds an account by name.
func (s *State) Account(name anvilid.AccountID) (*Account, bool) {
	account, ok := s.index.byName[name]
	return account, ok
}

// PolicyOf returns the terms in force for a job: those of its queue, or the ones
// it was accepted under when the queue is gone.
func (s *State) PolicyOf(job *Job) QueuePolicy {
	if queue, ok := s.index.names[job.Queue]; ok {
		return queue.Policy
	}
	return job.Policy
}

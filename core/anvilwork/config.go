package anvilwork

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// QueueName names a queue; see Queue.
type QueueName string

// Version is the version number of a configuration. Each configuration is complete, and the
// one with the highest version is in effect.
type Version uint64

// QueuePolicy contains the scheduling rules for the jobs of a queue.
type QueuePolicy struct {
	Service anvilid.ServiceName `cbor:"1,keyasint"`
	// Priority orders queues. Queue priority 0 is the highest, and its jobs may preempt
	// those of other queues.
	Priority int `cbor:"2,keyasint,omitempty"`
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int `cbor:"3,keyasint,omitempty"`
	// DeadlineFactor and DeadlineOffset set the deadline of a job, counted from its acceptance
	// or due time: DeadlineOffset + DeadlineFactor * estimated run time of its longest chain of
	// dependent steps.
	DeadlineFactor float64           `cbor:"4,keyasint,omitempty"`
	DeadlineOffset anvilclock.Millis `cbor:"5,keyasint,omitempty"`
	// Advice is set if an external service decides which targets may run a step. The zero
	// value means that no external service is asked.
	Advice Advice `cbor:"7,keyasint"`
}

// Advice describes the response time and the validity of tickets that the advice service
// guarantees. This external service decides on which targets a step may run.
type Advice struct {
	// A response takes up to BaseLatency, plus LatencyPerTarget for each target in the
	// request.
	BaseLatency      anvilclock.Millis `cbor:"1,keyasint,omitempty"`
	LatencyPerTarget anvilclock.Millis `cbor:"2,keyasint,omitempty"`
	// Validity is how long a ticket may be used. Zero means that no ticket is needed.
	Validity anvilclock.Millis `cbor:"3,keyasint,omitempty"`
}

// Needed reports whether a step needs a ticket from the advice service before it runs.
func (a Advice) Needed() bool { return a.Validity > 0 }

// Ticket is the authorization to run a step on a target, issued by the advice service.
type Ticket string

// Queue accepts the jobs that callers submit under one host and path prefix.
type Queue struct {
	Name   QueueName `cbor:"1,keyasint"`
	Host   string    `cbor:"2,keyasint"`
	Prefix string    `cbor:"3,keyasint"`
	// AllowAnonymous means that requests need no API key.
	AllowAnonymous bool              `cbor:"4,keyasint,omitempty"`
	Timeout        anvilclock.Millis `cbor:"5,keyasint,omitempty"`
	Policy         QueuePolicy       `cbor:"6,keyasint"`
}

// Service is a kind of target. A queue sends its tasks to the targets of one service.
type Service struct {
	Name anvilid.ServiceName `cbor:"1,keyasint"`
}

// Account is a client account and its API keys.
type Account struct {
	Name       anvilid.AccountID        `cbor:"1,keyasint"`
	Keys       []string                 `cbor:"2,keyasint,omitempty"`
	Guaranteed anvilid.AcceleratorCount `cbor:"3,keyasint,omitempty"`
}

// Config is one complete configuration of the queues, services and accounts.
type Config struct {
	Version  Version   `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	Accounts []Account `cbor:"4,keyasint,omitempty"`
	// Raw is the document as the operator sent it. Read requests return it unchanged.
	Raw []byte `cbor:"6,keyasint,omitempty"`
}

// ErrInvalid reports a configuration that fails validation.
var ErrInvalid = errors.New("invalid configuration")

// Check returns an error that wraps ErrInvalid if the configuration is not valid.
func (c *Config) Check() error {
	services := map[anvilid.ServiceName]bool{}
	for _, service := range c.Services {
		if services[service.Name] {
			return fmt.Errorf("%w: service %q appears twice", ErrInvalid, service.Name)
		}
		services[service.Name] = true
	}
	routes := map[[2]string]QueueName{}
	for _, queue := range c.Queues {
		route := [2]string{queue.Host, queue.Prefix}
		other, taken := routes[route]
		switch {
		case !services[queue.Policy.Service]:
			return fmt.Errorf("%w: queue %q names the unknown service %q", ErrInvalid, queue.Name, queue.Policy.Service)
		case taken:
			return fmt.Errorf("%w: queues %q and %q have the same host and prefix", ErrInvalid, other, queue.Name)
		case queue.Timeout <= 0:
			return fmt.Errorf("%w: queue %q has no timeout", ErrInvalid, queue.Name)
		}
		routes[route] = queue.Name
	}
	return c.checkKeys()
}

// HasService reports whether the configuration has a service with this name.
func (c *Config) HasService(name anvilid.ServiceName) bool {
	return slices.ContainsFunc(c.Services, func(service Service) bool { return service.Name == name })
}

func (c *Config) checkKeys() error {
	keyOwners := map[string]anvilid.AccountID{}
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			if other, taken := keyOwners[key]; taken {
				return fmt.Errorf("%w: accounts %q and %q share a key", ErrInvalid, other, account.Name)
			}
			keyOwners[key] = account.Name
		}
	}
	return nil
}

// index contains lookup tables for a configuration.
type index struct {
	queuesByHost   map[string][]*Queue
	queuesByName   map[QueueName]*Queue
	accountsByKey  map[string]*Account
	accountsByName map[anvilid.AccountID]*Account
}

func newIndex(c *Config) *index {
	x := &index{
		queuesByHost: map[string][]*Queue{}, queuesByName: map[QueueName]*Queue{},
		accountsByKey: map[string]*Account{}, accountsByName: map[anvilid.AccountID]*Account{},
	}
	for i := range c.Queues {
		queue := &c.Queues[i]
		x.queuesByHost[queue.Host] = append(x.queuesByHost[queue.Host], queue)
		x.queuesByName[queue.Name] = queue
	}
	for i := range c.Accounts {
		account := &c.Accounts[i]
		x.accountsByName[account.Name] = account
		for _, key := range account.Keys {
			x.accountsByKey[key] = account
		}
	}
	return x
}

// Route returns the queue to which a job that was submitted at host and path goes. Of the queues of the
// host whose prefix matches the path, this is the one with the longest prefix. It returns false if
// there is none.
func (s *State) Route(host, path string) (*Queue, bool) {
	var best *Queue
	for _, queue := range s.index.queuesByHost[host] {
		if strings.HasPrefix(path, queue.Prefix) && (best == nil || len(queue.Prefix) > len(best.Prefix)) {
			best = queue
		}
	}
	return best, best != nil
}

// AccountByKey returns the account that an API key belongs to, and false if no account has this key.
func (s *State) AccountByKey(key string) (*Account, bool) {
	account, ok := s.index.accountsByKey[key]
	return account, ok
}

// Account returns the account with the given name, and false if the configuration has none.
func (s *State) Account(name anvilid.AccountID) (*Account, bool) {
	account, ok := s.index.accountsByName[name]
	return account, ok
}

// PolicyOf returns the policy that applies to a job: that of its queue or, if the queue
// has been removed, the one under which the job was accepted.
func (s *State) PolicyOf(job *Job) QueuePolicy {
	if queue, ok := s.index.queuesByName[job.Queue]; ok {
		return queue.Policy
	}
	return job.Policy
}

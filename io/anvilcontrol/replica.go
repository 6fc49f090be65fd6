// Package anvilcontrol connects instances with the control group: the
// replicated state of a voter, the Control service of the leader, and the
// client that every instance uses.
package anvilcontrol

import (
	"sync"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillease"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// Replica holds the replicated state of one voter and, while it leads, the
// leases of the instances.
type Replica struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger

	mu      sync.Mutex
	machine *anvilstate.Machine
	granter *anvillease.Granter
	loads   map[anvilid.InstanceID]*anvilrpc.InstanceLoad
	// term is the term in which this voter has taken up leadership.
	term anvilid.Term
	// unbalanced is set while targets may be spread unevenly.
	unbalanced bool
	// changed is closed and replaced whenever views change.
	changed chan struct{}
}

// NewReplica returns an empty replica that grants leases of one span.
func NewReplica(clock anvilclock.Clock, log *anvillogs.Logger, lease anvilclock.Millis) *Replica {
	return &Replica{
		clock: clock, log: log,
		machine: anvilstate.New(),
		granter: anvillease.NewGranter(lease),
		loads:   map[anvilid.InstanceID]*anvilrpc.InstanceLoad{},
		changed: make(chan struct{}),
	}
}

// Apply executes one committed entry.
func (r *Replica) Apply(index anvilid.Index, at anvilclock.Millis, data []byte) anvilstate.Result {
	var command anvilstate.Command
	if err := anvilstate.Decode(data, &command); err != nil {
		r.log.Write(anvillogs.EntryUnreadable, zap.Uint64("index", uint64(index)), zap.Error(err))
		return anvilstate.Result{Index: index, Code: "unreadable", Detail: err.Error()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.machine.LastChangeIndex()
	result := r.machine.Apply(index, at, command)
	r.followSessions(command, result)
	if r.machine.LastChangeIndex() != before {
		r.notify()
	}
	return result
}

// followSessions keeps the granter in step with the sessions of the state.
func (r *Replica) followSessions(command anvilstate.Command, result anvilstate.Result) {
	if result.Code != "" {
		return
	}
	switch {
	case command.Rebalance != nil:
		r.unbalanced = result.Moved > 0
	case command.Register != nil, command.Remove != nil, command.Depart != nil:
		r.unbalanced = true
	case command.Join != nil:
		r.unbalanced = true
		r.granter.Join(r.clock.Now(), sessionOf(command.Join.Instance))
	case command.Leave != nil && !command.Leave.Drain:
		r.forget(anvillease.Session{Instance: command.Leave.ID, Incarnation: command.Leave.Incarnation})
	case command.Expire != nil:
		r.forget(anvillease.Session{Instance: command.Expire.ID, Incarnation: command.Expire.Incarnation})
	}
}

func (r *Replica) forget(session anvillease.Session) {
	r.granter.RemoveSession(session)
	delete(r.loads, session.Instance)
}

func sessionOf(instance anvilstate.Instance) anvillease.Session {
	return anvillease.Session{Instance: instance.ID, Incarnation: instance.Incarnation}
}

func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// StartTerm takes up leadership in a term. The caller has made sure that every
// entry of earlier terms was applied.
func (r *Replica) StartTerm(term anvilid.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term <= r.term {
		return
	}
	var sessions []anvillease.Session
	for _, instance := range r.machine.Instances() {
		sessions = append(sessions, sessionOf(instance))
	}
	r.granter.StartTerm(r.clock.Now(), sessions)
	r.term = term
	r.unbalanced = true
}

// Restore replaces the state by that of a snapshot.
func (r *Replica) Restore(data []byte) error {
	machine, err := anvilstate.Restore(data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine = machine
	r.notify()
	return nil
}

// Snapshot encodes the state. Only the capture holds up other calls.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.Lock()
	capture := r.machine.Capture()
	r.mu.Unlock()
	return capture.Encode()
}

// Read calls f with the state. f must not keep what it is given.
func (r *Replica) Read(f func(*anvilstate.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.machine)
}

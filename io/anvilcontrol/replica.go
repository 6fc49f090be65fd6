// Package anvilcontrol connects instances to the control group, the voters of the replicated log. It
// contains the replicated state of a voter (Replica), the Control service of the leader (Service), and
// the client that every instance uses (Client).
//
// An instance joins the control group and then has a session until it leaves or its lease expires. It
// renews its lease by long polls to the leader. The replies keep its view, which is a copy of a part of
// the replicated state, up to date.
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

// Replica contains one voter's copy of the replicated state and, while the voter is the leader, the
// leases of the instances.
type Replica struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger

	mu      sync.Mutex
	machine *anvilstate.Machine
	granter *anvillease.Granter
	loads   map[anvilid.InstanceID]*anvilrpc.InstanceLoad
	// term is the latest term in which this voter began to act as the leader.
	term anvilid.Term
	// unbalanced is set while the targets may be distributed unevenly over the instances.
	unbalanced bool
	// changed is closed and replaced whenever a part of the state changes that the views of the
	// instances contain.
	changed chan struct{}
}

// NewReplica returns a Replica with an empty state. As the leader, it grants leases of the given
// duration to instances.
func NewReplica(clock anvilclock.Clock, log *anvillogs.Logger, lease anvilclock.Millis) *Replica {
	return &Replica{
		clock: clock, log: log,
		machine: anvilstate.New(),
		granter: anvillease.NewGranter(lease),
		loads:   map[anvilid.InstanceID]*anvilrpc.InstanceLoad{},
		changed: make(chan struct{}),
	}
}

// Apply applies one committed log entry.
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
	r.updateSessions(command, result)
	if r.machine.LastChangeIndex() != before {
		r.notifyChange()
	}
	return result
}

// updateSessions updates the sessions and leases of the instances after a command that started or
// ended a session. It also sets unbalanced after commands that may leave the targets unevenly
// distributed over the instances.
func (r *Replica) updateSessions(command anvilstate.Command, result anvilstate.Result) {
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
		r.removeSession(anvillease.Session{Instance: command.Leave.ID, Incarnation: command.Leave.Incarnation})
	case command.Expire != nil:
		r.removeSession(anvillease.Session{Instance: command.Expire.ID, Incarnation: command.Expire.Incarnation})
	}
}

func (r *Replica) removeSession(session anvillease.Session) {
	r.granter.RemoveSession(session)
	delete(r.loads, session.Instance)
}

func sessionOf(instance anvilstate.Instance) anvillease.Session {
	return anvillease.Session{Instance: instance.ID, Incarnation: instance.Incarnation}
}

func (r *Replica) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// StartTerm makes the voter grant leases as the leader of a new term. The caller must have made sure
// that every log entry of earlier terms is applied.
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

// Restore replaces the state with that of a snapshot.
func (r *Replica) Restore(data []byte) error {
	machine, err := anvilstate.Restore(data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine = machine
	r.notifyChange()
	return nil
}

// Snapshot encodes the state. Other calls are blocked only while the state is captured, not while
// it is encoded.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.Lock()
	capture := r.machine.Capture()
	r.mu.Unlock()
	return capture.Encode()
}

// Read calls f with the replicated state while it is locked. f must not retain its argument.
func (r *Replica) Read(f func(*anvilstate.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.machine)
}

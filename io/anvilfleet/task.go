package anvilfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilslot"
)

// Errors of CallTask.
var (
	// ErrNotOwned means that this instance does not own the target now.
	ErrNotOwned = errors.New("the target is not owned by this instance")
	// ErrUnknownTask means that the target has no task for the member of the gang,
	// or that this task has ended.
	ErrUnknownTask = errors.New("the target has no such running task")
)

// TaskCall is the JSON body of a call that prepares, starts, renews or stops the
// task of a gang member at a target.
type TaskCall struct {
	Epoch        anvilid.Epoch            `json:"epoch"`
	Token        anvilid.Token            `json:"token"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators,omitempty"`
	Lease        anvilclock.Millis        `json:"lease,omitempty"`
	Payload      string                   `json:"payload,omitempty"`
	Checkpoint   bool                     `json:"checkpoint,omitempty"`
}

// AdoptedSince returns the time at which this instance adopted a target. It returns
// false if the target is not owned by this instance or not adopted yet.
func (f *Fleet) AdoptedSince(id anvilid.TargetID) (since anvilclock.Millis, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, owned := f.targets[id]
	view, listed := f.ledger.View(id)
	if !owned || !listed || view.State == anvilslot.Waiting {
		return 0, false
	}
	return entry.adoptedAt, true
}

// ReservedSlotsFree reports whether no short request occupies a reserved slot of a
// target.
func (f *Fleet) ReservedSlotsFree(id anvilid.TargetID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.ReservationCleared(id)
}

// CallTask makes a target prepare, start, renew or stop the task of a gang member.
// The verb is "prepare", "start", "renew" or "stop".
func (f *Fleet) CallTask(ctx context.Context, id anvilid.TargetID, verb string, job anvilid.JobID, member int, call TaskCall) (anvilreport.Task, error) {
	var task anvilreport.Task
	f.mu.Lock()
	entry, ok := f.targets[id]
	f.mu.Unlock()
	if !ok || !f.leased() {
		return task, fmt.Errorf("%w: target %q", ErrNotOwned, id)
	}
	call.Epoch = entry.caller.epoch
	body, err := json.Marshal(call)
	if err != nil {
		return task, err
	}
	method, path := http.MethodPost, fmt.Sprintf("/v1/tasks/%s/%d", job, member)
	if verb == "prepare" {
		method = http.MethodPut
	} else {
		path += "/" + verb
	}
	return task, entry.caller.post(ctx, method, path, body, &task)
}

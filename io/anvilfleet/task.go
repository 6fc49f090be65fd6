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

// Errors of calls about tasks.
var (
	// ErrNotOwned reports a target that this instance doesn't own now.
	ErrNotOwned = errors.New("the target isn't owned by this instance")
	// ErrUnknownTask reports a member that the target doesn't have or that
	// has ended.
	ErrUnknownTask = errors.New("the target has no such task")
)

// TaskCall is the content of a call about a member of a gang.
type TaskCall struct {
	Epoch        anvilid.Epoch            `json:"epoch"`
	Token        anvilid.Token            `json:"token"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators,omitempty"`
	Lease        anvilclock.Millis        `json:"lease,omitempty"`
	Payload      string                   `json:"payload,omitempty"`
	Checkpoint   bool                     `json:"checkpoint,omitempty"`
}

// AdoptedSince tells since when a target is adopted.
func (f *Fleet) AdoptedSince(id anvilid.TargetID) (since anvilclock.Millis, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, owned := f.targets[id]
	view, listed := f.ledger.View(id)
	if !owned || !listed || view.State == anvilslot.Waiting {
		return 0, false
	}
	return known.adoptedAt, true
}

// ReservedSlotsFree tells whether no short request holds a reserved slot of a target.
func (f *Fleet) ReservedSlotsFree(id anvilid.TargetID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.ReservationCleared(id)
}

// CallTask makes a call about a member of a gang. Verb is prepare, start, renew
// or stop.
func (f *Fleet) CallTask(ctx context.Context, id anvilid.TargetID, verb string, job anvilid.JobID, member int, call TaskCall) (anvilreport.Task, error) {
	var task anvilreport.Task
	f.mu.Lock()
	known, ok := f.targets[id]
	f.mu.Unlock()
	if !ok || !f.leased() {
		return task, fmt.Errorf("%w: target %q", ErrNotOwned, id)
	}
	call.Epoch = known.caller.epoch
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
	return task, known.caller.post(ctx, method, path, body, &task)
}

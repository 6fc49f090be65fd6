package anvildispatch

import (
	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilrequest"
)

// WithObjectiveRecorder sets the function that records the requests of services with objectives.
func WithObjectiveRecorder(record func(anvilburn.Event)) Option {
	return func(d *Dispatcher) { d.recordEvent = record }
}

// recordObjectives records the result of an admitted request for the objectives of its service.
// Requests that fail the admission checks are errors of the caller and are not recorded.
func (d *Dispatcher) recordObjectives(request *anvilrequest.Request, answer anvilrequest.Answer) {
	progress := &request.Progress
	if d.recordEvent == nil || !progress.Admitted {
		return
	}
	service := d.directory.Service(request.Service)
	if service == nil || service.Objectives == nil {
		return
	}
	event := anvilburn.Event{Key: anvilburn.Key{
		Service: request.Service, Account: request.Account, Cause: anvilburn.Cause(answer.Outcome) + "/" + anvilburn.Cause(answer.Code),
	}}
	if answer.Outcome == anvilrequest.Done {
		event.Cause = anvilburn.CauseDone
		if d.clock.Now() > request.Deadline {
			event.Cause = anvilburn.CauseDoneLate
		}
	}
	if wait := service.Objectives.Wait; wait != nil {
		event.Limited = true
		event.OverLimit = !progress.Ran || progress.Started-progress.Received > wait.Limit
	}
	d.recordEvent(event)
}

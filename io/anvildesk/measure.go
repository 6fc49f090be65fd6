package anvildesk

import (
	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilrequest"
)

// WithObjectiveRecorder sets what counts the requests of services with objectives.
func WithObjectiveRecorder(tally func(anvilburn.Event)) Option { return func(d *Dispatcher) { d.tally = tally } }

// measure counts a request that this instance admitted. Requests that fail
// the checks of admission are the caller's to correct and don't count.
func (d *Dispatcher) measure(request *anvilrequest.Request, answer anvilrequest.Answer) {
	course := &request.Progress
	if d.tally == nil || !course.Admitted {
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
		event.OverLimit = !course.Ran || course.Started-course.Received > wait.Limit
	}
	d.tally(event)
}

package anvilorder

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilwork"
)

// EndsPerList is the number of ended runs that a target lists at a time. It lists further ones once the
// former ones are acknowledged.
const EndsPerList = 500

// ErrNoList means that the answer of a target lacks one of its two lists of runs.
var ErrNoList = errors.New("answer has no list of running or of ended runs")

// ErrEndOutOfRange means that an end has a number that it can't have.
var ErrEndOutOfRange = errors.New("number of an end is out of range")

// Lists are the lists of a target's runs as they have arrived, entry by entry. A nil one was missing.
type Lists[E any] struct {
	Running, Ended []E
	// DecodeRunning and DecodeEnd decode an entry. What could be read of it is returned beside an error: at least
	// the task and the run of a running one, or the number of an end, if they are readable.
	DecodeRunning func(E) (Running, error)
	DecodeEnd     func(E) (anvilwork.RunEnd, error)
	// Ignored is called for each entry of which some part can't be used, and with the zero entry for a missing list.
	Ignored func(E, error)
}

// AddTo adds the runs to an answer. A running one that can be told is added, although the rest of its entry can't be
// read, because a run that isn't listed counts as ended. An end whose outcome can't be read only has its number, and one
// without a usable number is counted, so that none of the following ones is acknowledged for it.
func (l Lists[E]) AddTo(answer *PollAnswer) {
	complete := l.Running != nil && l.Ended != nil
	answer.Complete = complete && len(l.Ended) < EndsPerList
	if answer.Done && !complete {
		var missing E
		l.Ignored(missing, ErrNoList)
	}
	for _, entry := range l.Running {
		running, err := l.DecodeRunning(entry)
		if err != nil {
			l.Ignored(entry, err)
		}
		if running.Run > 0 {
			answer.Running = append(answer.Running, running)
		}
	}
	acknowledged := max(answer.Order.Cursor, answer.Order.Target.Cursor)
	for _, entry := range l.Ended {
		end, err := l.decodeEnd(entry, acknowledged)
		if err != nil {
			l.Ignored(entry, err)
		}
		if end.Number == 0 {
			answer.UnusableEnds++
			continue
		}
		answer.Ended = append(answer.Ended, end)
	}
}

// decodeEnd decodes an entry of the list of ended runs. The ends up to acknowledged have been acknowledged.
func (l Lists[E]) decodeEnd(entry E, acknowledged uint64) (anvilwork.RunEnd, error) {
	end, err := l.DecodeEnd(entry)
	if end.Number > acknowledged && !EndInRange(acknowledged, end.Number) {
		return anvilwork.RunEnd{}, fmt.Errorf("%w: %d", ErrEndOutOfRange, end.Number)
	}
	if end.Outcome == 0 {
		end = anvilwork.RunEnd{Number: end.Number} // names no run, so that only its number counts
	}
	return end, err
}

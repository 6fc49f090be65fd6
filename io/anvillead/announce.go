package anvillead

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilspread"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// maxHolderSilence is how long a voter may not have been reached and still hold targets. It is longer than a slow sync
// takes, as a target that is sent elsewhere opens a new connection.
const maxHolderSilence = 2 * anvilclock.Second

// arrival is an announcement that changes nothing, and when it arrived at the instance that acknowledges it.
type arrival struct {
	target anvilwork.Target
	at     anvilclock.Millis
}

// changedTarget is an announcement that changes the replicated state.
type changedTarget struct {
	target  anvilwork.Target // with the sequence number that it has for the replicated state
	runs    int              // that are assigned to the target before the change
	command anvilwork.Command
}

// Announce handles announcements of targets: a single one, or a list of those that another voter has acknowledged because
// they repeat what was acknowledged before. An announcement that changes the replicated state is committed before the
// reply, because a target that is leaving must not get work from a new leader either. The reply to a list names all
// holders of targets.
func (l *Leader) Announce(ctx context.Context, call *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.AnnounceReply{Redirection: r}, nil
	}
	announced, single, err := anvilwork.DecodeAnnouncements(call.Target)
	if err != nil {
		return nil, err
	}
	if call.Left && single {
		return &anvilrpc.AnnounceReply{Done: l.depart(ctx, announced[0].Target.ID), Leader: string(l.group.ID().Instance)}, nil
	}
	now := l.clock.Now()
	var changes []changedTarget
	var unchanged []arrival
	for _, a := range announced {
		arrived := now - max(0, a.Age)
		ordered, usable := l.order(arrived, a.Target)
		if !usable {
			continue
		}
		if change, ok := l.changeBy(ordered); ok {
			changes = append(changes, change)
		} else {
			unchanged = append(unchanged, arrival{ordered, arrived})
		}
	}
	l.keepAlive(unchanged...)
	reply := &anvilrpc.AnnounceReply{Done: l.commitTargets(ctx, changes)}
	division := l.division()
	if single {
		reply.Leader = string(division.Holder(announced[0].Target.ID))
		return reply, nil
	}
	for _, holder := range division.Holders() {
		reply.Holders = append(reply.Holders, string(holder))
	}
	return reply, nil
}

// order records an announcement, and returns it with the sequence number that it has for the replicated state. It is not
// usable if it is of another writer, or if a later one was heard before and it isn't the notice to leave.
func (l *Leader) order(arrived anvilclock.Millis, target anvilwork.Target) (ordered anvilwork.Target, usable bool) {
	if l.namesUnknownService(target) {
		l.ignored.Add("announcements", string(target.ID), []byte(target.Service), errUnknownService)
		return target, false
	}
	ordered, outdated := l.hear(arrived, target)
	return ordered, !outdated || target.Leaving
}

// changeBy returns the change of the replicated state that an announcement makes, if there is one.
func (l *Leader) changeBy(ordered anvilwork.Target) (change changedTarget, ok bool) {
	l.shared.With(func(s *shared) {
		if ok = s.state.AnnouncementHasEffect(ordered); !ok {
			return
		}
		change = changedTarget{
			target: ordered, runs: len(s.state.Runs(ordered.ID)),
			command: anvilwork.Command{Announce: &anvilwork.Announce{Target: ordered}},
		}
	})
	return change, ok
}

// keepAlive passes announcements that change nothing to the goroutine of the term. One that was sent before the record of
// the target says nothing about that record, so that it doesn't confirm its capacity.
func (l *Leader) keepAlive(arrivals ...arrival) {
	var announced []anvilorder.Announcement
	l.shared.With(func(s *shared) {
		for _, a := range arrivals {
			if !s.state.IsOutdated(a.target) {
				announced = append(announced, anvilorder.Announcement{
					Target: a.target.ID, Incarnation: a.target.Incarnation, Clock: a.target.Clock, Received: a.at,
				})
			}
		}
	})
	if len(announced) == 0 {
		return
	}
	select {
	case l.keepalives <- announced:
	default: // the channel is full; the targets announce themselves again soon
	}
}

// division divides the targets among the voters that this leader reaches.
func (l *Leader) division() anvilspread.Division {
	var targets int
	l.shared.With(func(s *shared) { targets = len(s.state.Targets()) })
	leader, inbound := l.group.ID().Instance, l.bounds.Connections.Inbound
	if anvilspread.LeaderSuffices(targets, inbound) {
		return anvilspread.Among(leader)
	}
	return anvilspread.Divide(leader, l.group.Reached(maxHolderSilence), targets, inbound)
}

// commitTargets commits changes of targets at once, and reports whether they were committed.
func (l *Leader) commitTargets(ctx context.Context, changes []changedTarget) bool {
	if len(changes) == 0 {
		return true
	}
	var commands []anvilwork.Command
	for _, change := range changes {
		if change.command.Announce != nil {
			l.logCapacityChange(change.target)
		}
		commands = append(commands, change.command)
	}
	if _, err := l.commit(ctx, commands...); err != nil {
		l.log.Write(anvillogs.CommitFailed, zap.String("target", string(changes[0].target.ID)), zap.Int("targets", len(changes)), zap.Error(err))
		return false
	}
	for _, change := range changes {
		l.log.Write(anvillogs.TargetUpdated, zap.String("target", string(change.target.ID)), zap.Int64("incarnation", int64(change.target.Incarnation)),
			zap.Bool("leaving", change.target.Leaving), zap.Bool("left", change.command.Leave != nil), zap.Int("runs", change.runs))
	}
	return true
}

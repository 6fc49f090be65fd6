package anvilgroup

import (
	"errors"
	"maps"
	"slices"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

const (
	// joinLogInterval is the time after which a line is written again about requests for membership that fail
	// in the same way.
	joinLogInterval = 3 * anvilclock.Second
	// joinLogChangeInterval is the shortest time between two such lines, however often the answers change.
	joinLogChangeInterval = anvilclock.Second
)

// joinRound is what one round of requests for membership has got from each instance that was asked.
type joinRound struct {
	failed map[anvilid.InstanceID]error
	// refused are leaders that can't give a vote yet, and leaderless the instances that know no leader. redirected
	// named another instance as the leader.
	refused, leaderless, redirected []anvilid.InstanceID
	// reason is what the leader waits for that has refused.
	reason string
}

// RefuseJoin returns the error by which a leader tells a voter why it has no vote yet.
func RefuseJoin(reason error) error { return twirp.NewError(twirp.FailedPrecondition, reason.Error()) }

// refusal returns the reason in an error of RefuseJoin.
func refusal(err error) (reason string, ok bool) {
	var refused twirp.Error
	if !errors.As(err, &refused) || refused.Code() != twirp.FailedPrecondition {
		return "", false
	}
	return refused.Msg(), true
}

// add records the answer of an instance that has granted nothing: an error, a redirection, or neither if it leads.
func (r *joinRound) add(instance anvilid.InstanceID, redirection *anvilrpc.Redirection, err error) {
	reason, isRefused := refusal(err)
	switch {
	case isRefused:
		r.refused, r.reason = append(r.refused, instance), reason
	case err != nil:
		if r.failed == nil {
			r.failed = map[anvilid.InstanceID]error{}
		}
		r.failed[instance] = err
	case redirection == nil:
		r.refused = append(r.refused, instance)
	case redirection.Leader == "":
		r.leaderless = append(r.leaderless, instance)
	default:
		r.redirected = append(r.redirected, instance)
	}
}

// equal reports whether the same instances have answered in the same way. Errors may differ.
func (r *joinRound) equal(other *joinRound) bool {
	return sameInstances(r.refused, other.refused) && sameInstances(r.leaderless, other.leaderless) && sameInstances(r.redirected, other.redirected) &&
		maps.EqualFunc(r.failed, other.failed, func(_, _ error) bool { return true })
}

// sameInstances compares two lists regardless of their order, which depends on the answers.
func sameInstances(a, b []anvilid.InstanceID) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// fields returns the fields of the log line.
func (r *joinRound) fields() []zap.Field {
	failed := make([]zap.Field, 0, len(r.failed))
	for _, instance := range slices.Sorted(maps.Keys(r.failed)) {
		failed = append(failed, zap.String(string(instance), r.failed[instance].Error()))
	}
	return []zap.Field{
		zap.Dict("failed", failed...), zap.Any("refused", r.refused), zap.Any("leaderless", r.leaderless), zap.Any("redirected", r.redirected),
	}
}

// joinLog decides when a line about requests for membership that had no success is written.
type joinLog struct {
	// since is when the first of the rounds without success began, and rounds their number.
	since  anvilclock.Millis
	rounds int
	// last is the round of the latest line about them, or nil before the first one. writtenAt is when the latest
	// line of all was written.
	last      *joinRound
	writtenAt anvilclock.Millis
	// refusal is the latest reason of a leader to refuse the vote, and refusedAt when it gave that. It outlives the leader, whose own
	// log may be gone.
	refusal   string
	refusedAt anvilclock.Millis
}

// begin begins a round at a time.
func (l *joinLog) begin(now anvilclock.Millis) {
	if l.rounds == 0 {
		l.since = now
	}
	l.rounds++
}

// succeeded ends the rounds without success.
func (l *joinLog) succeeded() { l.rounds, l.last, l.refusal = 0, nil, "" }

// ended notes the reason of a leader to refuse the vote in a round that is over.
func (l *joinLog) ended(now anvilclock.Millis, round *joinRound) {
	if round.reason != "" {
		l.refusal, l.refusedAt = round.reason, now
	}
}

// refusalFields returns the fields about the latest refusal, if there is one: how long ago it was, and its reason.
func (l *joinLog) refusalFields(now anvilclock.Millis) []zap.Field {
	if l.refusal == "" {
		return nil
	}
	return []zap.Field{zap.Int64("ago", int64(now-l.refusedAt)), zap.String("reason", l.refusal)}
}

// due reports whether a line about a round is due.
func (l *joinLog) due(now anvilclock.Millis, round *joinRound) bool {
	if now-max(l.writtenAt, l.since) >= joinLogInterval {
		return true
	}
	changed := l.last == nil || !round.equal(l.last)
	return changed && (l.writtenAt == 0 || now-l.writtenAt >= joinLogChangeInterval)
}

// fields returns the fields of the log line about all rounds without success. The history of the storage and of its copy of the log matters only
// without a vote.
func (l *joinLog) fields(now anvilclock.Millis, status anvilvoter.Status, vote bool) []zap.Field {
	fields := []zap.Field{zap.Bool("vote", vote), zap.Int64("for", int64(now-l.since)), logRange(status)}
	fields = append(fields, l.refusalFields(now)...)
	if !vote {
		fields = slices.Concat(fields, copyFields(status, now), storageFields(status))
	}
	return append(fields, zap.Int("rounds", l.rounds))
}

// logJoin writes a line about a round of requests for membership if one is due.
func (g *Group) logJoin(round *joinRound) {
	now, l := g.clock.Now(), &g.joinLog
	l.ended(now, round)
	if !l.due(now, round) {
		return
	}
	l.last, l.writtenAt = round, now
	status := g.Voter.Status()
	g.log.Write(anvillogs.EnrollFailed, append(l.fields(now, status, status.Members.IsVoter(g.id)), round.fields()...)...)
}

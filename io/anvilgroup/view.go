package anvilgroup

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

const (
	// viewInterval is the time after which a voter logs again who it takes for the voters, although nothing has
	// changed. An operator who has only the end of a log finds a line there.
	viewInterval = anvilclock.Minute
	// urgentViewInterval is the same while a voter has no vote or knows no leader, so that the lines of the last seconds
	// tell whether it was running, and whether it was started again.
	urgentViewInterval = 3 * anvilclock.Second
	// viewChangeInterval is the shortest time between two such lines, however often the leader changes.
	viewChangeInterval = anvilclock.Second
)

// processStarted is when this process started, by the wall clock. It is only logged.
var processStarted = time.Now()

// view is what a voter knows about the voters of its group.
type view struct {
	vote     bool // whether this voter has one, by its own log
	leader   anvilid.InstanceID
	voters   []anvilraft.VoterID
	learners []anvilraft.VoterID
	// silent are the voters that have sent nothing to this voter for silentTimeout (replacedTimeout if it leads), and
	// since when. A follower hears only its leader, so it can't tell.
	silent map[anvilid.InstanceID]anvilclock.Millis
	// markAge is that of the oldest mark of the latest list, see Group.markAge.
	markAge string
}

// view returns what this voter knows now. leaderlessSince is when it was first seen to know no leader, or -1.
func (g *Group) view(status anvilvoter.Status, leaderlessSince anvilclock.Millis) view {
	v := view{vote: status.Members.IsVoter(g.id), leader: status.Leader.Instance, voters: status.Members.Voters, learners: status.Members.Learners}
	g.mu.Lock()
	defer g.mu.Unlock()
	since, span := leaderlessSince, silentTimeout
	if status.Role == anvilraft.Leader {
		since, span = g.leadingSince, replacedTimeout
	}
	if since < 0 {
		return v
	}
	v.silent = map[anvilid.InstanceID]anvilclock.Millis{}
	for _, voter := range v.voters {
		heard := max(g.lastHeard[voter.Instance], since)
		if voter.Instance != g.settings.Instance && g.clock.Now()-heard >= span {
			v.silent[voter.Instance] = heard
		}
	}
	return v
}

// equal reports whether two views are of the same group. A silent voter stays the same however long it is silent.
func (v view) equal(other view) bool {
	return v.vote == other.vote && v.leader == other.leader && slices.Equal(v.voters, other.voters) && slices.Equal(v.learners, other.learners) &&
		(v.silent == nil) == (other.silent == nil) && maps.EqualFunc(v.silent, other.silent, func(_, _ anvilclock.Millis) bool { return true })
}

// fields returns the fields of the log line. The most telling ones come first, as the users' record cuts lines after 200
// characters. While there is no leader or vote, these are how much of the log the voter has.
func (v view) fields(status anvilvoter.Status, now, leaderlessSince anvilclock.Millis) []zap.Field {
	fields := []zap.Field{zap.Bool("vote", v.vote)}
	if leaderlessSince >= 0 {
		fields = append(fields, zap.Int64("leaderless", int64(now-leaderlessSince)))
	} else {
		fields = append(fields, zap.String("leader", string(v.leader)))
	}
	log := v.logFields(status, now)
	if leaderlessSince >= 0 || !v.vote {
		fields, log = append(fields, log...), nil
	}
	fields = append(fields, zap.String("voters", shortIDs(v.voters)))
	if v.silent != nil && len(v.voters) > 0 {
		fields = append(fields, zap.Int("spare", spare(len(v.voters), len(v.silent))))
	}
	fields = append(fields, zap.Int64("sync", int64(status.LongestSync)), zap.Bool("opened", true))
	if len(v.learners) > 0 {
		fields = append(fields, zap.String("learners", shortIDs(v.learners)))
	}
	if v.silent != nil {
		var silent []zap.Field
		for _, voter := range slices.Sorted(maps.Keys(v.silent)) {
			silent = append(silent, zap.Int64(string(voter), int64(now-v.silent[voter])))
		}
		fields = append(fields, zap.Dict("silent", silent...))
	}
	return append(append(fields, log...), zap.Uint64("term", uint64(status.Term)), zap.Time("started", processStarted))
}

// logFields returns the fields about what a voter has of the log: after which index it begins and with which it ends, the index of
// its latest list of members, and how many of the marks in that are committed. Without a vote, they include the history of the data
// directory and of the copy of the log.
func (v view) logFields(status anvilvoter.Status, now anvilclock.Millis) []zap.Field {
	list := strconv.FormatUint(uint64(status.MembersAt), 10)
	if status.MembersAt > status.Commit {
		list += " open"
	}
	fields := []zap.Field{logRange(status)}
	if !v.vote {
		fields = slices.Concat(storageFields(status), fields, copyFields(status, now))
	}
	fields = append(fields, zap.String("list", list))
	if marked := status.Members.Lost; len(marked) > 0 {
		isOpen := func(id anvilraft.VoterID) bool { return !status.Committed.IsLost(id) }
		committed := len(slices.DeleteFunc(slices.Clone(marked), isOpen))
		fields = append(fields, zap.String("marks", strings.TrimSpace(fmt.Sprintf("%d/%d %s", committed, len(marked), v.markAge))))
	}
	return fields
}

// logRange returns the field about where the log of a voter begins and ends. Both are the same if it has a snapshot only.
func logRange(status anvilvoter.Status) zap.Field {
	return zap.String("log", fmt.Sprintf("%d..%d", status.Base, status.Last))
}

// storageFields returns the fields about the data directory as the process has found it: how long before it was created, and, if that
// has happened, last written.
func storageFields(status anvilvoter.Status) []zap.Field {
	fields := []zap.Field{zap.Int64("age", int64(status.Age.Created))}
	if status.Age.Written >= 0 {
		fields = append(fields, zap.Int64("idle", int64(status.Age.Written)))
	}
	return fields
}

// copyFields returns the field about the log that leaders have sent in this process: how long ago the first and the latest part came, from
// whom, after how many changes of the sender, and the longest write to the data directory. If nothing has come, it is how long ago the last
// entry was stamped.
func copyFields(status anvilvoter.Status, now anvilclock.Millis) []zap.Field {
	c := status.Copied
	switch {
	case c.From.IsZero() && status.Tail < 0:
		return nil
	case c.From.IsZero():
		return []zap.Field{zap.Int64("tail", int64(status.Tail))}
	}
	ids := append([]anvilraft.VoterID{c.From, status.ID}, status.Members.Voters...)
	from := shortInstance(c.From.Instance, ids) + "/" + shortStorage(c.From.Storage)
	if c.Changes > 0 {
		from += fmt.Sprintf("+%d", c.Changes)
	}
	return []zap.Field{zap.String("copy", fmt.Sprintf("%d..%d %s %d", now-c.First, now-c.Latest, from, status.LongestSync))}
}

// spare returns how many further losses of voters a group bears.
func spare(voters, silent int) int { return (voters-1)/2 - silent }

// interval returns the time after which the view is logged again although it is still the same.
func (v view) interval() anvilclock.Millis {
	if v.leader == "" || !v.vote {
		return urgentViewInterval
	}
	return viewInterval
}

// LogView logs who this voter takes for the voters of the group, at the start, after changes and every
// viewInterval or urgentViewInterval, and why no leader is elected (quorumLog), until ctx is done.
func (g *Group) LogView(ctx context.Context) error {
	g.awaitReady(ctx, urgentViewInterval)
	log, quorum := viewLog{group: g, leaderlessSince: -1}, quorumLog{group: g, state: g.Voter.ElectionState, markAge: g.markAge}
	for ctx.Err() == nil {
		status := g.Voter.Status()
		log.update(status)
		quorum.update(status, log.leaderlessSince)
		g.trackEnrollments(status)
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
	return nil
}

// awaitReady waits until the voter has opened its data directory or ctx is done, and logs every interval that it hasn't yet.
func (g *Group) awaitReady(ctx context.Context, interval anvilclock.Millis) {
	for {
		select {
		case <-g.Voter.Ready():
			return
		case <-ctx.Done():
			return
		case <-time.After(interval.Duration()):
			g.log.Write(anvillogs.VotersKnown, zap.Bool("opened", false), zap.Time("started", processStarted))
		}
	}
}

// viewLog decides when a line is written.
type viewLog struct {
	group           *Group
	leaderlessSince anvilclock.Millis
	written         bool
	writtenAt       anvilclock.Millis
	last            view
}

func (l *viewLog) update(status anvilvoter.Status) {
	now := l.group.clock.Now()
	switch {
	case !status.Leader.IsZero():
		l.leaderlessSince = -1
	case l.leaderlessSince < 0:
		l.leaderlessSince = now
	}
	v := l.group.view(status, l.leaderlessSince)
	age := now - l.writtenAt
	if l.written && age < v.interval() && (age < viewChangeInterval || v.equal(l.last)) {
		return
	}
	l.written, l.writtenAt, l.last = true, now, v
	if len(status.Members.Lost) > 0 {
		v.markAge = l.group.markAge(status.Members.Lost...)
	}
	l.group.log.Write(anvillogs.VotersKnown, v.fields(status, now, l.leaderlessSince)...)
}

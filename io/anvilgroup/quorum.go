package anvilgroup

import (
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

// storagePrefix is how many characters of a storage id are logged. They tell the storages of one instance apart, and a record
// that cuts its lines keeps more of the fields behind them.
const storagePrefix = 3

// shortIDs returns ids as "instance/storage", with the start of the storage. Of several ids, the instances have only the last octets
// of their addresses that tell them apart.
func shortIDs(ids []anvilraft.VoterID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = shortInstance(id.Instance, ids) + "/" + shortStorage(id.Storage)
	}
	return strings.Join(names, " ")
}

// shortInstance returns as many of the last octets of an address as none of the other instances among ids ends with.
func shortInstance(instance anvilid.InstanceID, ids []anvilraft.VoterID) string {
	if len(ids) == 1 {
		return string(instance)
	}
	suffix := string(instance)
	for start := strings.LastIndexByte(suffix, '.'); start >= 0; start = strings.LastIndexByte(suffix[:start], '.') {
		end := suffix[start:]
		if !slices.ContainsFunc(ids, func(id anvilraft.VoterID) bool {
			return id.Instance != instance && strings.HasSuffix(string(id.Instance), end)
		}) {
			return end[1:]
		}
	}
	return suffix
}

func shortStorage(id anvilraft.StorageID) string { return string(id[:min(storagePrefix, len(id))]) }

// tally says which voters of a list could give a vote, by what this voter has had of them in the last silentTimeout.
type tally struct {
	anvilraft.Electorate
	// answering have sent messages, and of reached ones only the process has taken messages: they wait for a sync, or their
	// directory isn't open. Of silent ones there is no sign.
	answering, reached, silent []anvilraft.VoterID
}

// tally returns the tally of a list.
func (g *Group) tally(electorate anvilraft.Electorate) tally {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, now := tally{Electorate: electorate}, g.clock.Now()
	unable := anvilraft.Members{Voters: electorate.Marked, Learners: electorate.Lost}
	for _, id := range slices.Concat(electorate.Voters, electorate.Successors) {
		heard, wasHeard := g.lastHeard[id.Instance]
		reached, wasReached := g.lastReached[id.Instance]
		switch {
		case unable.Contains(id):
		case id == g.id, wasHeard && now-heard < silentTimeout:
			t.answering = append(t.answering, id)
		case wasReached && now-reached < silentTimeout:
			t.reached = append(t.reached, id)
		default:
			t.silent = append(t.silent, id)
		}
	}
	return t
}

// votes returns how many voters could give a vote.
func (t tally) votes() int { return len(t.answering) + len(t.reached) }

// lacksQuorum reports whether a list that counts lacks a quorum, so that nobody can be elected.
func (t tally) lacksQuorum() bool { return len(t.Voters) > 0 && t.votes() < t.Needed }

// field returns the field of the log line about a list. The voters that can't vote come first, as the line may be cut.
func (t tally) field(name string, markAge func(...anvilraft.VoterID) string) zap.Field {
	fields := []zap.Field{zap.Int("need", t.Needed), zap.Int("have", t.votes())}
	for _, group := range []struct {
		name string
		ids  []anvilraft.VoterID
	}{{"lost", t.Lost}, {"marked", t.Marked}, {"silent", t.silent}, {"reached", t.reached}, {"answer", t.answering}} {
		if len(group.ids) > 0 {
			names := shortIDs(group.ids)
			if group.name == "marked" {
				names = withMarkAges(group.ids, markAge)
			}
			fields = append(fields, zap.String(group.name, names))
		}
	}
	return zap.Dict(name, fields...)
}

// withMarkAges returns ids like shortIDs, each with the age of its mark.
func withMarkAges(ids []anvilraft.VoterID, markAge func(...anvilraft.VoterID) string) string {
	names := strings.Fields(shortIDs(ids))
	for i, id := range ids {
		names[i] += " " + markAge(id)
	}
	return strings.Join(names, " ")
}

// markAge returns how long before the end of the log the first of some voters was marked as lost: "-38,4210ms" is 38 entries and
// 4210 ms by the timestamps of the entries, and "-38" a mark whose entry is no longer in memory.
func (g *Group) markAge(ids ...anvilraft.VoterID) (age string) {
	var oldest anvilid.Index
	for _, id := range ids {
		entries, span, ok := g.Voter.MarkAge(id)
		if !ok || age != "" && entries <= oldest {
			continue
		}
		oldest, age = entries, fmt.Sprintf("-%d", entries)
		if span >= 0 {
			age += fmt.Sprintf(",%dms", span)
		}
	}
	return age
}

// Values of the field "lacks" of anvillogs.LeaderMissing.
const (
	lacksNone   = "none" // each list has a quorum, and nobody is elected
	lacksLatest = "latest"
	lacksBefore = "before"
	lacksBoth   = "both"
)

// lackingLists returns which lists lack a quorum.
func lackingLists(latest, before tally) string {
	switch {
	case latest.lacksQuorum() && before.lacksQuorum():
		return lacksBoth
	case latest.lacksQuorum():
		return lacksLatest
	case before.lacksQuorum():
		return lacksBefore
	}
	return lacksNone
}

// quorumLog decides when a voter that has a vote logs why there is no leader: once it has known none for silentTimeout, after
// changes, and every urgentViewInterval.
type quorumLog struct {
	group     *Group
	state     func() anvilraft.ElectionState
	markAge   func(...anvilraft.VoterID) string
	written   bool
	writtenAt anvilclock.Millis
	lacks     string
}

func (l *quorumLog) update(status anvilvoter.Status, leaderlessSince anvilclock.Millis) {
	now := l.group.clock.Now()
	if leaderlessSince < 0 || now-leaderlessSince < silentTimeout || !status.Members.IsVoter(l.group.id) {
		l.written = false
		return
	}
	age := now - l.writtenAt
	if l.written && age < viewChangeInterval {
		return
	}
	state := l.state()
	latest, before := l.group.tally(state.Latest), l.group.tally(state.Before)
	lacks := lackingLists(latest, before)
	if l.written && age < urgentViewInterval && lacks == l.lacks {
		return
	}
	l.written, l.writtenAt, l.lacks = true, now, lacks
	fields := []zap.Field{zap.String("lacks", lacks), zap.Int64("for", int64(now-leaderlessSince))}
	lists := []zap.Field{latest.field("latest", l.markAge)}
	switch {
	case lacks == lacksBefore:
		lists = []zap.Field{before.field("before", l.markAge), lists[0]}
	case len(before.Voters) > 0:
		lists = append(lists, before.field("before", l.markAge))
	}
	l.group.log.Write(anvillogs.LeaderMissing, append(append(fields, lists...), zap.Int("campaigns", state.Campaigns))...)
}

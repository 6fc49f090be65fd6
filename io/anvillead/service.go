package anvillead

import (
	"context"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

const (
	// notReadyRetry is when callers should come back who came before the first
	// configuration or during an election.
	notReadyRetry = 500 * anvilclock.Millisecond
	// formingLimit is how long the first configuration waits for all voters of
	// the first start. If fewer come, the others decide without them.
	formingLimit = 6 * anvilclock.Second
)

// redirection names the leader, or returns nil if this voter leads.
func (l *Leader) redirection() *anvilrpc.Redirection {
	if l.leading() {
		return nil
	}
	r := &anvilrpc.Redirection{}
	status := l.group.Voter.Status()
	if status.Leader != status.ID {
		r.Leader = string(status.Leader.Instance)
	}
	for _, voter := range status.Members.Voters {
		r.Voters = append(r.Voters, string(voter.Instance))
	}
	return r
}

// Locate tells who leads, and which other instances pass calls on.
func (l *Leader) Locate(_ context.Context, call *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.LocateReply{Redirection: r}, nil
	}
	reply := &anvilrpc.LocateReply{Leading: true, Redirection: &anvilrpc.Redirection{Leader: string(l.group.ID().Instance)}}
	for _, member := range l.group.Members() {
		reply.Redirection.Voters = append(reply.Redirection.Voters, string(member))
	}
	reply.Relays = l.relays.others(l.clock.Now(), anvilid.InstanceID(call.Instance))
	return reply, nil
}

// Join makes a data directory a voter.
func (l *Leader) Join(ctx context.Context, call *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.JoinReply{Redirection: r}, nil
	}
	id := anvilraft.VoterID{Instance: anvilid.InstanceID(call.Instance), Storage: anvilraft.StorageID(call.Storage)}
	if err := l.group.Enroll(ctx, id); err != nil {
		l.log.Write(anvillogs.EnrollFailed, zap.Stringer("voter", id), zap.Error(err))
		return &anvilrpc.JoinReply{}, nil
	}
	return &anvilrpc.JoinReply{Done: true}, nil
}

// Job submits, shows or cancels a job, or counts those of a queue if the path
// names no job.
func (l *Leader) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.JobReply{Redirection: r}, nil
	}
	l.mu.Lock()
	queue, account, refusal := l.admit(call)
	l.mu.Unlock()
	if refusal != nil {
		return refusal, nil
	}
	id := anvilid.JobID(strings.TrimPrefix(call.Path, queue.Prefix))
	switch call.Action {
	case anvilrpc.JobAction_JOB_ACTION_SUBMIT:
		return l.submit(ctx, call, id, queue, account), nil
	case anvilrpc.JobAction_JOB_ACTION_SHOW:
		return l.show(id, queue.Name), nil
	case anvilrpc.JobAction_JOB_ACTION_CANCEL:
		return l.cancel(ctx, id), nil
	}
	return refuse(anvilrpc.JobCode_JOB_CODE_INVALID, "unknown action"), nil
}

func refuse(code anvilrpc.JobCode, detail string) *anvilrpc.JobReply {
	return &anvilrpc.JobReply{Code: code, Detail: detail}
}

func busy(detail string, retry anvilclock.Millis) *anvilrpc.JobReply {
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_BUSY, Detail: detail, Retry: int64(retry)}
}

// admit finds the queue and the account of a call. The queue and account are
// copies, because the configuration may change while the call goes on.
func (l *Leader) admit(call *anvilrpc.JobCall) (anvilwork.Queue, anvilid.AccountID, *anvilrpc.JobReply) {
	if l.state.Config().Version == 0 {
		return anvilwork.Queue{}, "", busy("there is no configuration yet", notReadyRetry)
	}
	queue, ok := l.state.Route(call.Host, call.Path)
	if !ok {
		return anvilwork.Queue{}, "", refuse(anvilrpc.JobCode_JOB_CODE_NO_QUEUE, "no queue has this host and path")
	}
	account, ok := l.state.AccountByKey(call.Key)
	switch {
	case ok:
		return *queue, account.Name, nil
	case queue.AllowAnonymous:
		return *queue, "", nil
	}
	return anvilwork.Queue{}, "", refuse(anvilrpc.JobCode_JOB_CODE_NO_KEY, "the key belongs to no account")
}

func (l *Leader) submit(ctx context.Context, call *anvilrpc.JobCall, id anvilid.JobID, queue anvilwork.Queue, account anvilid.AccountID) *anvilrpc.JobReply {
	var spec anvilwork.Spec
	if err := cbor.Unmarshal(call.Spec, &spec); err != nil {
		return refuse(anvilrpc.JobCode_JOB_CODE_INVALID, "the job can't be read: "+err.Error())
	}
	if err := spec.Check(); err != nil {
		return refuse(anvilrpc.JobCode_JOB_CODE_INVALID, err.Error())
	}
	l.mu.Lock()
	_, known := l.state.Job(id)
	l.mu.Unlock()
	if known {
		return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
	}
	_, err := l.commit(ctx, anvilwork.Command{Submit: &anvilwork.Submit{
		Job: id, Account: account, Queue: queue.Name, Policy: queue.Policy, Spec: spec,
	}})
	if err != nil {
		return l.failed(err, anvillogs.JobRefused, id)
	}
	l.log.Write(anvillogs.JobAccepted, zap.String("job", string(id)), zap.String("queue", string(queue.Name)),
		zap.String("account", string(account)))
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
}

// failed answers a change that was not committed. Only an error that excludes
// a later commit is a refusal.
func (l *Leader) failed(err error, event anvillogs.Event, id anvilid.JobID) *anvilrpc.JobReply {
	l.log.Write(event, zap.String("job", string(id)), zap.Error(err))
	switch {
	case errors.Is(err, anvilvoter.ErrNotLeader), errors.Is(err, anvilvoter.ErrStopped):
		return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}
	case errors.Is(err, anvilvoter.ErrOverloaded):
		return busy("the log is overloaded", notReadyRetry)
	}
	return refuse(anvilrpc.JobCode_JOB_CODE_UNKNOWN, "the change may or may not take effect")
}

// show tells the phase of a job, or counts the jobs of a queue if no job is
// named.
func (l *Leader) show(id anvilid.JobID, queue anvilwork.QueueName) *anvilrpc.JobReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" {
		waiting := l.state.CountWaiting(queue, l.wall.Now())
		return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE, Waiting: int64(waiting)}
	}
	job, ok := l.state.Job(id)
	if !ok {
		return refuse(anvilrpc.JobCode_JOB_CODE_NO_JOB, "no job has this id")
	}
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE, Phase: job.Phase.String()}
}

func (l *Leader) cancel(ctx context.Context, id anvilid.JobID) *anvilrpc.JobReply {
	results, err := l.commit(ctx, anvilwork.Command{Cancel: &anvilwork.Cancel{Job: id}})
	if err != nil {
		return l.failed(err, anvillogs.JobCancelled, id)
	}
	l.log.Write(anvillogs.JobCancelled, zap.String("job", string(id)))
	if len(results) == 1 && results[0] == anvilwork.Unknown {
		return refuse(anvilrpc.JobCode_JOB_CODE_NO_JOB, "no job has this id")
	}
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
}

// Configure publishes or reads the configuration. The caller has decoded and
// checked the document.
func (l *Leader) Configure(ctx context.Context, call *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.ConfigureReply{Redirection: r}, nil
	}
	if len(call.Config) == 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return &anvilrpc.ConfigureReply{Done: true, Raw: l.state.Config().Raw}, nil
	}
	var config anvilwork.Config
	if err := cbor.Unmarshal(call.Config, &config); err != nil {
		return nil, err
	}
	l.mu.Lock()
	version := l.state.Config().Version
	l.mu.Unlock()
	switch {
	case config.Version <= version:
		return &anvilrpc.ConfigureReply{Done: true}, nil
	case version == 0 && l.forming():
		return &anvilrpc.ConfigureReply{}, nil
	}
	if _, err := l.commit(ctx, anvilwork.Command{Configure: &config}); err != nil {
		l.log.Write(anvillogs.CommitFailed, zap.Uint64("version", uint64(config.Version)), zap.Error(err))
		return &anvilrpc.ConfigureReply{}, nil
	}
	l.log.Write(anvillogs.ConfigChanged, zap.Uint64("version", uint64(config.Version)))
	return &anvilrpc.ConfigureReply{Done: true}, nil
}

// forming tells that voters of the first start are still missing. A change
// that only the founders have stored would not survive the loss of two disks.
func (l *Leader) forming() bool {
	return len(l.group.Members()) < l.bounds.InitialVoters && l.clock.Now()-l.since < formingLimit
}

// Announce takes what a target says of itself. What changes something is
// committed first: a target that leaves must get no work from a new leader.
func (l *Leader) Announce(ctx context.Context, call *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.AnnounceReply{Redirection: r}, nil
	}
	var target anvilwork.Target
	if err := cbor.Unmarshal(call.Target, &target); err != nil {
		return nil, err
	}
	reply := &anvilrpc.AnnounceReply{Done: true, Leader: string(l.group.ID().Instance)}
	command, changes := l.announcement(target, call.Left)
	if !changes {
		select {
		case l.reports <- report{target.ID, target.Incarnation}:
		default: // the next announcement comes soon
		}
		return reply, nil
	}
	if _, err := l.commit(ctx, command); err != nil {
		l.log.Write(anvillogs.CommitFailed, zap.String("target", string(target.ID)), zap.Error(err))
		return &anvilrpc.AnnounceReply{}, nil
	}
	l.log.Write(anvillogs.TargetKnown, zap.String("target", string(target.ID)), zap.Bool("leaving", target.Leaving), zap.Bool("left", call.Left))
	return reply, nil
}

// announcement returns the command for an announcement that changes the state.
func (l *Leader) announcement(target anvilwork.Target, left bool) (anvilwork.Command, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left {
		known, ok := l.state.Target(target.ID)
		// Only an incarnation that said that it leaves is taken at its word: a
		// late call of an earlier one must not end what runs on the next.
		if !ok || !known.Leaving {
			return anvilwork.Command{}, false
		}
		return anvilwork.Command{Leave: &anvilwork.Leave{Target: known.ID, Incarnation: known.Incarnation}}, true
	}
	return anvilwork.Command{Announce: &anvilwork.Announce{Target: target}}, l.state.AnnouncementHasEffect(target)
}

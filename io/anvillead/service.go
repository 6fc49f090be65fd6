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
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

const (
	// notReadyRetry is the retry delay that callers are given if no
	// configuration has been published yet, or the leader cannot commit their
	// change now.
	notReadyRetry = 500 * anvilclock.Millisecond
	// initialVotersTimeout is how long, counted from the start of this process,
	// the first configuration is refused while some initial voters have not
	// joined. After that it is accepted without the missing voters.
	initialVotersTimeout = 6 * anvilclock.Second
)

// redirection returns nil if this voter is the leader. Otherwise it returns where
// to send the call: the leader, if this voter knows it, and all known voters.
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

// Locate tells an instance which voter is the leader, and which other instances
// can relay its calls if it cannot reach the leader.
func (l *Leader) Locate(_ context.Context, call *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.LocateReply{Redirection: r}, nil
	}
	reply := &anvilrpc.LocateReply{Leading: true, Redirection: &anvilrpc.Redirection{Leader: string(l.group.ID().Instance)}}
	for _, member := range l.group.Members() {
		reply.Redirection.Voters = append(reply.Redirection.Voters, string(member))
	}
	reply.Relays = l.relays.refresh(l.clock.Now(), anvilid.InstanceID(call.Instance))
	return reply, nil
}

// Join adds the voter with the given data directory to the group, or removes it if it leaves.
func (l *Leader) Join(ctx context.Context, call *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.JoinReply{Redirection: r}, nil
	}
	id := anvilraft.VoterID{Instance: anvilid.InstanceID(call.Instance), Storage: anvilraft.StorageID(call.Storage)}
	change, failed := l.group.Enroll, anvillogs.EnrollFailed
	if call.Leave {
		change, failed = l.group.Release, anvillogs.LeaveFailed
	}
	if err := change(ctx, id); err != nil {
		l.log.Write(failed, zap.Stringer("voter", id), zap.Error(err))
		return nil, anvilgroup.RefuseJoin(err)
	}
	return &anvilrpc.JoinReply{Done: true}, nil
}

// Job submits, shows or cancels a job. If the path names no job, it returns the
// number of waiting jobs of the queue.
func (l *Leader) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.JobReply{Redirection: r}, nil
	}
	var queue anvilwork.Queue
	var account anvilid.AccountID
	var refusal *anvilrpc.JobReply
	l.shared.With(func(s *shared) { queue, account, refusal = resolve(s.state, call) })
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
	return refusalReply(anvilrpc.JobCode_JOB_CODE_INVALID, "unknown job action"), nil
}

func refusalReply(code anvilrpc.JobCode, detail string) *anvilrpc.JobReply {
	return &anvilrpc.JobReply{Code: code, Detail: detail}
}

func busyReply(detail string, retry anvilclock.Millis) *anvilrpc.JobReply {
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_BUSY, Detail: detail, Retry: int64(retry)}
}

// resolve finds the queue that matches the host and path of a call, and the
// account that its key belongs to. It returns copies, because the configuration
// may change while the call is in progress. If the call must be refused, it
// returns the reply.
func resolve(state *anvilwork.State, call *anvilrpc.JobCall) (anvilwork.Queue, anvilid.AccountID, *anvilrpc.JobReply) {
	if state.Config().Version == 0 {
		return anvilwork.Queue{}, "", busyReply("no configuration has been published yet; retry later", notReadyRetry)
	}
	queue, ok := state.Route(call.Host, call.Path)
	if !ok {
		return anvilwork.Queue{}, "", refusalReply(anvilrpc.JobCode_JOB_CODE_NO_QUEUE, "no queue matches this host and path")
	}
	account, ok := state.AccountByKey(call.Key)
	switch {
	case ok:
		return *queue, account.Name, nil
	case queue.AllowAnonymous:
		return *queue, "", nil
	}
	return anvilwork.Queue{}, "", refusalReply(anvilrpc.JobCode_JOB_CODE_NO_KEY, "the key does not belong to any account")
}

func (l *Leader) submit(ctx context.Context, call *anvilrpc.JobCall, id anvilid.JobID, queue anvilwork.Queue, account anvilid.AccountID) *anvilrpc.JobReply {
	var spec anvilwork.Spec
	if err := cbor.Unmarshal(call.Spec, &spec); err != nil {
		return refusalReply(anvilrpc.JobCode_JOB_CODE_INVALID, "cannot decode the job spec: "+err.Error())
	}
	if err := spec.Check(); err != nil {
		return refusalReply(anvilrpc.JobCode_JOB_CODE_INVALID, err.Error())
	}
	var known bool
	l.shared.With(func(s *shared) { _, known = s.state.Job(id) })
	if known {
		return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
	}
	if err := anvilwork.CheckJobID(id); err != nil {
		return refusalReply(anvilrpc.JobCode_JOB_CODE_INVALID, err.Error())
	}
	_, err := l.commit(ctx, anvilwork.Command{Submit: &anvilwork.Submit{
		Job: id, Account: account, Queue: queue.Name, Policy: queue.Policy, Spec: spec,
	}})
	if err != nil {
		return l.commitFailed(err, anvillogs.JobRefused, id)
	}
	l.log.Write(anvillogs.JobAccepted, zap.String("job", string(id)), zap.String("queue", string(queue.Name)),
		zap.String("account", string(account)))
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
}

// commitFailed returns the reply to a submission or cancellation of a job whose
// commit failed. The reply is a refusal only if the error rules out that the
// change is committed later; otherwise it says that the outcome is unknown.
func (l *Leader) commitFailed(err error, event anvillogs.Event, id anvilid.JobID) *anvilrpc.JobReply {
	l.log.Write(event, zap.String("job", string(id)), zap.Error(err))
	switch {
	case errors.Is(err, anvilvoter.ErrNotLeader), errors.Is(err, anvilvoter.ErrStopped):
		return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}
	case errors.Is(err, anvilvoter.ErrOverloaded):
		return busyReply("the replicated log is overloaded; retry later", notReadyRetry)
	}
	return refusalReply(anvilrpc.JobCode_JOB_CODE_UNKNOWN, "the outcome is unknown: the change may still take effect")
}

// show returns the phase of a job, or the number of waiting jobs of a queue if
// no job is named.
func (l *Leader) show(id anvilid.JobID, queue anvilwork.QueueName) *anvilrpc.JobReply {
	reply := &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
	l.shared.With(func(s *shared) {
		if id == "" {
			waiting := s.state.CountWaiting(queue, l.wallClock.Now(), func(job anvilid.JobID) bool { return s.begun[job] })
			reply.Waiting = int64(waiting)
			return
		}
		job, ok := s.state.Job(id)
		if !ok {
			reply = refusalReply(anvilrpc.JobCode_JOB_CODE_NO_JOB, "no job has this id")
			return
		}
		reply.Phase = job.Phase.String()
	})
	return reply
}

func (l *Leader) cancel(ctx context.Context, id anvilid.JobID) *anvilrpc.JobReply {
	results, err := l.commit(ctx, anvilwork.Command{Cancel: &anvilwork.Cancel{Job: id}})
	if err != nil {
		return l.commitFailed(err, anvillogs.JobCancelled, id)
	}
	l.log.Write(anvillogs.JobCancelled, zap.String("job", string(id)))
	if len(results) == 1 && results[0] == anvilwork.Unknown {
		return refusalReply(anvilrpc.JobCode_JOB_CODE_NO_JOB, "no job has this id")
	}
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}
}

// Configure publishes or reads the configuration. The instance that sends the call
// has already decoded and validated the operator's document.
func (l *Leader) Configure(ctx context.Context, call *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.ConfigureReply{Redirection: r}, nil
	}
	if len(call.Config) == 0 {
		reply := &anvilrpc.ConfigureReply{Done: true}
		l.shared.With(func(s *shared) { reply.Raw = s.state.Config().Raw })
		return reply, nil
	}
	var config anvilwork.Config
	if err := cbor.Unmarshal(call.Config, &config); err != nil {
		return nil, err
	}
	var version anvilwork.Version
	l.shared.With(func(s *shared) { version = s.state.Config().Version })
	switch {
	case config.Version <= version:
		return &anvilrpc.ConfigureReply{Done: true}, nil
	case version == 0 && l.awaitingInitialVoters():
		return &anvilrpc.ConfigureReply{}, nil
	}
	if _, err := l.commit(ctx, anvilwork.Command{Configure: &config}); err != nil {
		l.log.Write(anvillogs.CommitFailed, zap.Uint64("version", uint64(config.Version)), zap.Error(err))
		return &anvilrpc.ConfigureReply{}, nil
	}
	l.log.Write(anvillogs.ConfigChanged, zap.Uint64("version", uint64(config.Version)))
	return &anvilrpc.ConfigureReply{Done: true}, nil
}

// awaitingInitialVoters reports whether the first configuration must be refused,
// because some of the initial voters have not joined yet and initialVotersTimeout
// has not passed. A change that only the founding voters have stored would not
// survive the loss of two disks.
func (l *Leader) awaitingInitialVoters() bool {
	return len(l.group.Members()) < l.bounds.InitialVoters && l.clock.Now()-l.startedAt < initialVotersTimeout
}

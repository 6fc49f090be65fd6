package anvillogs

import "go.uber.org/zap/zapcore"

// Events about the start, the stop and the background tasks of an instance.
var (
	InstanceStarted      = define(101, zapcore.InfoLevel, "instance started")
	InstanceJoined       = define(102, zapcore.InfoLevel, "instance joined the control group")
	InstanceDraining     = define(103, zapcore.InfoLevel, "instance is draining: it accepts no new requests")
	InstanceStopped      = define(104, zapcore.InfoLevel, "instance stopped")
	InstanceKilled       = define(105, zapcore.WarnLevel, "second stop signal: instance stops without waiting for its requests")
	LogLinesDropped      = define(107, zapcore.WarnLevel, "log lines omitted: log buffer full or event repeated too often")
	ClientsGaveWay       = define(108, zapcore.WarnLevel, "clients gave way: too many connections to this process, or too many bytes of bodies")
	ProcessPaused        = define(109, zapcore.WarnLevel, "process did not run for longer than an election timeout")
	ProcessCrashed       = define(110, zapcore.ErrorLevel, "former process ended by a fatal error")
	CrashFileFailed      = define(111, zapcore.WarnLevel, "fatal error of a process can't be read or recorded in its data directory")
	BackgroundTaskFailed = define(106, zapcore.ErrorLevel, "background task of the instance failed; the instance stops")
)

// Events about the instance leases and the control group, which replicates the state.
var (
	LeaseGained          = define(201, zapcore.InfoLevel, "instance lease acquired")
	LeaseLost            = define(202, zapcore.WarnLevel, "instance lease expired: no new requests are admitted")
	LeaderChanged        = define(203, zapcore.InfoLevel, "leader of the control group changed")
	InstanceLeaseExpired = define(204, zapcore.WarnLevel, "lease of an instance expired; its targets are assigned to other instances")
	ProposalFailed       = define(205, zapcore.WarnLevel, "control group did not accept a command")
	RenewalFailed        = define(206, zapcore.DebugLevel, "lease renewal failed; trying the next voter")
	VoterEnrolled        = define(208, zapcore.InfoLevel, "voter added to the control group")
	VoterRemoved         = define(209, zapcore.InfoLevel, "former voter removed from the control group")
	VoterFailed          = define(210, zapcore.ErrorLevel, "voter stopped; this instance continues to serve without a vote")
	GroupCreated         = define(211, zapcore.InfoLevel, "new control group created")
	InitialVotersAwaited = define(212, zapcore.InfoLevel, "waiting for the other initial voters before the control group is created")
	EnrollFailed         = define(213, zapcore.InfoLevel, "join failed")
	DataDirectoryCorrupt = define(214, zapcore.ErrorLevel, "data directory is corrupt and was emptied; the voter joins as a new member")
	MembersChanged       = define(215, zapcore.InfoLevel, "members of the control group changed")
	DiskSlow             = define(216, zapcore.WarnLevel, "write to the data directory took longer than the election timeout")
	VotersSilent         = define(217, zapcore.WarnLevel, "number of voters that send nothing has changed")
	StorageLost          = define(220, zapcore.InfoLevel, "a voter's storage is lost for good: its instance has another one")
	LeaderMissing        = define(221, zapcore.WarnLevel, "no leader elected")
	EnrollmentStep       = define(222, zapcore.InfoLevel, "join")
	VotersKnown          = define(218, zapcore.InfoLevel, "voters")
	LeaveFailed          = define(219, zapcore.WarnLevel, "voter could not be removed in time from a group that is larger than it is meant to be")
	EntryUnreadable      = define(207, zapcore.ErrorLevel, "committed log entry can't be decoded")
)

// Events about targets.
var (
	TargetRegistered  = define(301, zapcore.InfoLevel, "target registered")
	TargetAdopted     = define(302, zapcore.InfoLevel, "target adopted: this instance can send it work")
	TargetAdoptFailed = define(303, zapcore.WarnLevel, "target could not be adopted; trying again")
	TargetReleased    = define(304, zapcore.InfoLevel, "target released to another instance")
	TargetRemoved     = define(305, zapcore.WarnLevel, "target removed because it no longer announces itself")
	TargetLeaving     = define(306, zapcore.InfoLevel, "target is leaving: no new work is sent to it")
	TargetEjected     = define(307, zapcore.WarnLevel, "target ejected because of failed requests")
	TargetReadmitted  = define(308, zapcore.InfoLevel, "ejected target receives work again after successful probes")
	EjectionRecorded  = define(309, zapcore.InfoLevel, "ejection of a target, or its end, was recorded for its next owners")
)

// Events about requests.
var (
	AnswerRejected = define(401, zapcore.WarnLevel, "invalid answer of a target was discarded")
	LibraryMessage = define(403, zapcore.WarnLevel, "message logged by a library")
	OutcomeUnknown = define(402, zapcore.WarnLevel, "outcome of a request is unknown: it may have run, but its answer was lost")
)

// Events about gang jobs that anvilgang runs. A gang job has several members, each of which runs
// on one target.
var (
	JobPlaced          = define(501, zapcore.InfoLevel, "job placed")
	JobStarted         = define(502, zapcore.InfoLevel, "job is running: all its members were started")
	JobStartRolledBack = define(503, zapcore.WarnLevel, "job start rolled back; its members are stopped and fenced")
	JobEnded           = define(504, zapcore.InfoLevel, "job ended")
	JobPreempted       = define(506, zapcore.InfoLevel, "job preempted: a guaranteed job needs its accelerators")
	GuaranteeUnmet     = define(507, zapcore.ErrorLevel, "set of account guarantees that can't be met has changed")
	JobMemberLost      = define(505, zapcore.WarnLevel, "member of a job lost; the others are stopped")
)

// Events of the leader (anvillead), which accepts jobs and starts and stops their runs on targets.
var (
	LeadershipGained   = define(601, zapcore.InfoLevel, "voter became the leader")
	LeadershipEnded    = define(602, zapcore.InfoLevel, "voter is no longer the leader")
	CommitFailed       = define(603, zapcore.WarnLevel, "commands of the leader could not be committed")
	JobAccepted        = define(604, zapcore.InfoLevel, "job accepted")
	JobRefused         = define(605, zapcore.InfoLevel, "job refused")
	JobCancelled       = define(606, zapcore.InfoLevel, "job cancelled")
	RunPlaced          = define(607, zapcore.InfoLevel, "run placed")
	StartNotConfirmed  = define(608, zapcore.WarnLevel, "start of a run was not confirmed by the target")
	StartUnanswered    = define(609, zapcore.WarnLevel, "target did not answer the start of a run; it is sent again")
	RunEnded           = define(610, zapcore.InfoLevel, "run ended")
	RunUnassigned      = define(611, zapcore.InfoLevel, "run withdrawn from its target, which does not have it")
	RunEvicted         = define(612, zapcore.InfoLevel, "run stopped to free capacity for an urgent job")
	TargetLeaseExpired = define(613, zapcore.WarnLevel, "target does not answer and its lease has expired; its runs are placed again")
	TargetUpdated      = define(614, zapcore.InfoLevel, "target was added, changed or removed")
	TargetUnanswered   = define(617, zapcore.WarnLevel, "call to a target got no answer")
	EntryIgnored       = define(618, zapcore.WarnLevel, "entry of a list, or announcement, that can't be used was ignored")
	JobEndRecorded     = define(619, zapcore.InfoLevel, "end of a job recorded by the leader")
	AdviceRequested    = define(620, zapcore.InfoLevel, "asked the advice service which targets may run a step")
	WaveStarted        = define(621, zapcore.InfoLevel, "maintenance wave accepted")
	UpkeepOrdered      = define(622, zapcore.InfoLevel, "maintenance of a machine requested")
	MachineListFailed  = define(623, zapcore.WarnLevel, "machines could not be listed; the maintenance wave waits")
	RunThrottled       = define(624, zapcore.InfoLevel, "throttle percentage of a run was set")
	LeaderSummary      = define(625, zapcore.InfoLevel, "what the leader has done since the last summary")
	RunNotAssigned     = define(626, zapcore.WarnLevel, "target lists a run that is not assigned to it; the run is stopped")
	RunMissing         = define(627, zapcore.WarnLevel, "target does not list a run any more that it had confirmed; the run is placed again")
	RunInherited       = define(628, zapcore.InfoLevel, "target was restarted; a run of its former incarnation is stopped there before it is placed again")
	TargetCrashed      = define(630, zapcore.WarnLevel, "target has crashed and a later incarnation has replaced it")
	RunLost            = define(631, zapcore.InfoLevel, "run was lost in the crash of its target")
	JobGivenUp         = define(632, zapcore.WarnLevel, "job given up: one of its tasks crashes the targets that start it")
	CapacityChanged    = define(633, zapcore.InfoLevel, "capacity of a target has changed")
	StepIdle           = define(634, zapcore.InfoLevel, "step has nothing at work")
	CheckpointsKept    = define(635, zapcore.InfoLevel, "checkpoints of runs on an unreachable target recorded")
	ZoneEvacuated      = define(640, zapcore.InfoLevel, "evacuation of a zone begun or ended")
	NeighboursMeasured = define(647, zapcore.InfoLevel, "effects of queues on the speed of each other")
	SpeedsRecorded     = define(645, zapcore.InfoLevel, "lasting speeds of machines recorded")
	LateAnnouncement   = define(629, zapcore.InfoLevel, "announcement of a target arrived after a later one")
	ConfigChanged      = define(615, zapcore.InfoLevel, "new configuration in force")
	ConfigRefused      = define(616, zapcore.InfoLevel, "configuration refused")
)

// Events of an instance that forwards requests to the leader.
var (
	RequestFailed         = define(701, zapcore.InfoLevel, "request could not be forwarded to the leader")
	VoterCallFailed       = define(702, zapcore.InfoLevel, "call to a voter failed; trying the next voter")
	SettingsReloadFailed  = define(703, zapcore.WarnLevel, "settings could not be reloaded; the previous ones stay in force")
	RelayTried            = define(704, zapcore.InfoLevel, "no voter answers; asked another instance to forward the call")
	CallsAnswered         = define(705, zapcore.InfoLevel, "calls that failed before are answered again")
	KeepalivesUndelivered = define(706, zapcore.InfoLevel, "announcements of targets could not be passed on to the leader; trying again")
	HeldCallsSent         = define(708, zapcore.InfoLevel, "a leader answers again; the calls that were held are sent")
)

// stateChanges are the texts of the events about the state of the process and of the control group, see maxWarnBytes.
var stateChanges = textsOf(
	InstanceStarted, InstanceDraining, InstanceStopped, BackgroundTaskFailed, LogLinesDropped, ProcessPaused, ProcessCrashed,
	LeaderChanged, VoterFailed, EnrollFailed, DataDirectoryCorrupt, MembersChanged, DiskSlow, VotersSilent, VotersKnown, LeaveFailed, StorageLost, LeaderMissing, EnrollmentStep,
	LeadershipGained, LeadershipEnded,
)

func textsOf(events ...Event) map[string]bool {
	texts := map[string]bool{}
	for _, event := range events {
		texts[event.Text] = true
	}
	return texts
}

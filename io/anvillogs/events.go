package anvillogs

import "go.uber.org/zap/zapcore"

// Events of an instance's life.
var (
	InstanceStarted      = define(101, zapcore.InfoLevel, "instance started")
	InstanceJoined       = define(102, zapcore.InfoLevel, "instance joined the control group")
	InstanceDraining     = define(103, zapcore.InfoLevel, "instance drains: no new requests are taken")
	InstanceStopped      = define(104, zapcore.InfoLevel, "instance stopped")
	InstanceKilled       = define(105, zapcore.WarnLevel, "second signal: instance stops at once")
	LogLinesDropped      = define(107, zapcore.WarnLevel, "log lines were left out")
	BackgroundTaskFailed = define(106, zapcore.ErrorLevel, "a duty of the instance failed; the instance stops")
)

// Events of the lease and the control group.
var (
	LeaseGained          = define(201, zapcore.InfoLevel, "instance lease gained")
	LeaseLost            = define(202, zapcore.WarnLevel, "instance lease lapsed: nothing new is admitted")
	LeaderChanged        = define(203, zapcore.InfoLevel, "leader of the control group changed")
	InstanceLeaseExpired = define(204, zapcore.WarnLevel, "lease of an instance expired; its targets get new owners")
	ProposalFailed       = define(205, zapcore.WarnLevel, "command was not accepted by the control group")
	RenewalFailed        = define(206, zapcore.DebugLevel, "lease renewal failed; trying the next voter")
	VoterEnrolled        = define(208, zapcore.InfoLevel, "voter enrolled")
	VoterRemoved         = define(209, zapcore.InfoLevel, "former voter removed")
	VoterFailed          = define(210, zapcore.ErrorLevel, "voter stopped; this instance serves on without a vote")
	GroupCreated         = define(211, zapcore.InfoLevel, "new control group founded")
	InitialVotersAwaited = define(212, zapcore.InfoLevel, "waiting for the other initial voters before a group is founded")
	EnrollFailed         = define(213, zapcore.InfoLevel, "voter is not enrolled yet; asking again")
	DataDirectoryCorrupt = define(214, zapcore.ErrorLevel, "data directory is damaged and was emptied; the voter joins anew")
	MembersChanged       = define(215, zapcore.InfoLevel, "members of the control group changed")
	DiskSlow             = define(216, zapcore.WarnLevel, "write to the data directory took longer than an election")
	EntryUnreadable      = define(207, zapcore.ErrorLevel, "committed entry can't be decoded")
)

// Events of targets.
var (
	TargetRegistered  = define(301, zapcore.InfoLevel, "target registered")
	TargetAdopted     = define(302, zapcore.InfoLevel, "target adopted; it receives work")
	TargetAdoptFailed = define(303, zapcore.WarnLevel, "target could not be adopted yet")
	TargetReleased    = define(304, zapcore.InfoLevel, "target released to another instance")
	TargetRemoved     = define(305, zapcore.WarnLevel, "target has not reported and is removed")
	TargetLeaving     = define(306, zapcore.InfoLevel, "target leaves: no new work is sent")
	TargetEjected     = define(307, zapcore.WarnLevel, "target ejected for its failures")
	TargetReadmitted  = define(308, zapcore.InfoLevel, "ejected target returned after probes")
)

// Events of requests.
var (
	AnswerRejected = define(401, zapcore.WarnLevel, "answer of a target failed its checks and was dropped")
	LibraryMessage = define(403, zapcore.WarnLevel, "message of a library")
	OutcomeUnknown = define(402, zapcore.WarnLevel, "a request may have run; its answer is lost")
)

// Events of jobs.
var (
	JobPlaced          = define(501, zapcore.InfoLevel, "job placed")
	JobStarted         = define(502, zapcore.InfoLevel, "job runs: every member was started")
	JobStartRolledBack = define(503, zapcore.WarnLevel, "job start undone; members stopped and fenced")
	JobEnded           = define(504, zapcore.InfoLevel, "job ended")
	JobPreempted       = define(506, zapcore.InfoLevel, "job preempted: a guaranteed job needs its accelerators")
	GuaranteeUnmet     = define(507, zapcore.ErrorLevel, "guarantees that can't be placed have changed")
	JobMemberLost      = define(505, zapcore.WarnLevel, "member of a job lost; the others are stopped")
)

// Events of the leader that gives the orders to targets.
var (
	LeadershipGained   = define(601, zapcore.InfoLevel, "leader took up its term")
	LeadershipEnded    = define(602, zapcore.InfoLevel, "leader gave up its term")
	CommitFailed       = define(603, zapcore.WarnLevel, "commands of the leader were not committed")
	JobAccepted        = define(604, zapcore.InfoLevel, "job accepted")
	JobRefused         = define(605, zapcore.InfoLevel, "job refused")
	JobCancelled       = define(606, zapcore.InfoLevel, "job cancelled")
	RunPlaced          = define(607, zapcore.InfoLevel, "run placed")
	StartRejected      = define(608, zapcore.WarnLevel, "start was not confirmed by the target")
	StartUnanswered    = define(609, zapcore.WarnLevel, "start got no answer; it is sent again")
	RunEnded           = define(610, zapcore.InfoLevel, "run ended")
	RunUnassigned      = define(611, zapcore.InfoLevel, "placement taken back: the run never started")
	RunEvicted         = define(612, zapcore.InfoLevel, "run stopped to make room for an urgent job")
	TargetLeaseExpired = define(613, zapcore.WarnLevel, "target is silent and its lease has passed; its runs are placed anew")
	TargetUpdated      = define(614, zapcore.InfoLevel, "target became known or changed")
	TargetUnanswered   = define(617, zapcore.WarnLevel, "call to a target got no answer")
	ListEntryInvalid   = define(618, zapcore.ErrorLevel, "entry of a target's list can't be read and is ignored")
	JobEndRecorded     = define(619, zapcore.InfoLevel, "job ended on the leader's books")
	AdviceRequested    = define(620, zapcore.InfoLevel, "asked where a step may run")
	WaveStarted        = define(621, zapcore.InfoLevel, "wave of upkeep accepted")
	UpkeepOrdered      = define(622, zapcore.InfoLevel, "upkeep of a machine ordered")
	MachineListFailed  = define(623, zapcore.WarnLevel, "machines could not be listed; the wave waits")
	RunThrottled       = define(624, zapcore.InfoLevel, "share at which a run works was set")
	ConfigChanged      = define(615, zapcore.InfoLevel, "configuration in force")
	ConfigRefused      = define(616, zapcore.InfoLevel, "configuration refused")
)

// Events of an instance that passes requests on.
var (
	RequestFailed        = define(701, zapcore.InfoLevel, "request could not be passed to the leader")
	VoterCallFailed      = define(702, zapcore.InfoLevel, "leader is unknown; asking the voters")
	SettingsReloadFailed = define(703, zapcore.WarnLevel, "settings could not be read again; the former ones stay")
	RelayTried           = define(704, zapcore.InfoLevel, "no voter reacts; asked another instance to pass the call on")
)

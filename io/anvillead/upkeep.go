package anvillead

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilupkeep"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

const (
	// machineListInterval is how often the list of host machines is read while a
	// maintenance wave is in progress. The platform charges for each read.
	machineListInterval = 1500 * anvilclock.Millisecond
	// machineCallTimeout limits a call to the platform's machine service, which
	// lists the host machines or orders the maintenance of one.
	machineCallTimeout = 5 * time.Second
)

// upkeep is the state of machine maintenance in one term.
type upkeep struct {
	coordinator *anvilupkeep.Coordinator
	list        anvilupkeep.MachineList
	listPending bool
	nextListAt  anvilclock.Millis // earliest time at which the machines are listed again
	// unavailable contains the targets on host machines that are being drained
	// for maintenance or are down. They get no new runs.
	unavailable map[anvilid.TargetID]bool
}

// advanceWaves carries the maintenance waves on: it stops runs on machines whose
// maintenance is next and orders the maintenance of machines without runs.
func (r *leadership) advanceWaves(now anvilclock.Millis, state *anvilwork.State) {
	waves := state.Waves()
	r.upkeep.unavailable = r.targetsInMaintenance(state, waves)
	if len(waves) == 0 {
		return
	}
	r.listMachines(now)
	effects := r.upkeep.coordinator.Step(now, r.wallClock.Now(), waves, r.upkeep.list,
		func(id anvilid.TargetID) anvilupkeep.Load { return r.load(state, id) })
	r.pendingCommands = append(r.pendingCommands, effects.Commands...)
	for _, id := range effects.Stop {
		for task := range state.Runs(id) {
			if state.MayStop(r.stopping(state), task) {
				r.tracker.StopRun(id, task)
			}
		}
	}
	for _, order := range effects.Orders {
		go r.orderUpkeep(order)
	}
}

// targetsInMaintenance returns the targets on machines that are in maintenance. To
// find them, it uses both the machine name that each target announced and the
// target that the platform's list names for each machine.
func (r *leadership) targetsInMaintenance(state *anvilwork.State, waves []*anvilwork.Wave) map[anvilid.TargetID]bool {
	unavailable := map[anvilid.TargetID]bool{}
	inMaintenance := anvilwork.MachinesInMaintenance(waves)
	if len(inMaintenance) == 0 {
		return unavailable
	}
	for machine := range inMaintenance {
		if listed, ok := r.upkeep.list.Machines[machine]; ok {
			unavailable[listed.Target] = true
		}
	}
	for _, target := range state.Targets() {
		if inMaintenance[target.Machine] {
			unavailable[target.ID] = true
		}
	}
	return unavailable
}

// load returns what the maintenance of a target's machine would end: the number of
// runs on the target, whether one of them must not be stopped, and the work that
// would be lost.
func (r *leadership) load(state *anvilwork.State, id anvilid.TargetID) anvilupkeep.Load {
	load := anvilupkeep.Load{}
	runs, stopping := slices.Collect(maps.Keys(state.Runs(id))), r.stopping(state)
	load.ProtectedTogether = !state.MayStop(stopping, runs...)
	for _, task := range runs {
		load.Runs++
		load.Protected = load.Protected || !state.MayStop(stopping, task)
		if job, ok := state.Job(task.Job); ok {
			load.Loss += anvilplace.Loss(job, task, r.logTime())
		}
	}
	return load
}

// stopping returns the function that reports whether the run of a task is being stopped.
func (r *leadership) stopping(state *anvilwork.State) func(anvilwork.Task) bool {
	return func(task anvilwork.Task) bool {
		job, ok := state.Job(task.Job)
		return ok && r.tracker.Stopping(job.State(task).Target, task)
	}
}

func (r *leadership) listMachines(now anvilclock.Millis) {
	if r.upkeep.listPending || now < r.upkeep.nextListAt {
		return
	}
	r.upkeep.listPending = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), machineCallTimeout)
		defer cancel()
		list, err := r.calls.ListMachines(ctx)
		if err != nil {
			r.log.Write(anvillogs.MachineListFailed, zap.Error(err))
		}
		r.enqueueResult(func(after anvilclock.Millis) anvilorder.Effects {
			r.upkeep.listPending, r.upkeep.nextListAt = false, after+machineListInterval
			if err == nil {
				list.Sent = now
				r.upkeep.list = r.withAnnounced(list)
			}
			return anvilorder.Effects{}
		})
	}()
}

// withAnnounced adds the machines that the targets have announced to a list of which a part could not be read.
func (r *leadership) withAnnounced(list anvilupkeep.MachineList) anvilupkeep.MachineList {
	r.shared.With(func(s *shared) {
		for _, target := range s.state.Targets() {
			list.AddAnnounced(target.Machine, target.ID)
		}
	})
	return list
}

func (r *leadership) orderUpkeep(order anvilupkeep.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), machineCallTimeout)
	defer cancel()
	verdict, err := r.calls.OrderUpkeep(ctx, order, anvilid.Token(r.term))
	r.log.Write(anvillogs.UpkeepOrdered, zap.String("machine", string(order.Machine)), zap.Uint64("wave", uint64(order.Wave)),
		zap.Uint8("verdict", uint8(verdict)), zap.Error(err))
	r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects {
		return anvilorder.Effects{Commands: r.upkeep.coordinator.Answered(now, order, verdict).Commands}
	})
}

// Wave starts a maintenance wave, or returns the state of one. A wave is a set of
// machines that all get maintenance, a limited number of them at a time.
func (l *Leader) Wave(ctx context.Context, call *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.WaveReply{Redirection: r}, nil
	}
	if len(call.Wave) == 0 {
		reply := &anvilrpc.WaveReply{Done: true}
		l.shared.With(func(s *shared) {
			wave, known := s.state.Wave(anvilwork.WaveNumber(call.Number))
			reply.Known, reply.Completed = known, known && wave.Completed()
		})
		return reply, nil
	}
	var wave anvilwork.Wave
	if err := cbor.Unmarshal(call.Wave, &wave); err != nil {
		return nil, err
	}
	if _, err := l.commit(ctx, anvilwork.Command{StartWave: &wave}); err != nil {
		l.log.Write(anvillogs.CommitFailed, zap.Uint64("wave", uint64(wave.Number)), zap.Error(err))
		return &anvilrpc.WaveReply{}, nil
	}
	l.log.Write(anvillogs.WaveStarted, zap.Uint64("wave", uint64(wave.Number)), zap.Int("machines", len(wave.Machines)),
		zap.Int("limit", wave.MaxDown), zap.Int64("span", int64(wave.MaxDuration)))
	return &anvilrpc.WaveReply{Done: true, Known: true}, nil
}

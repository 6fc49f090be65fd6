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
// maintenance is next and orders the maintenance of machines without runs. The
// caller must have locked mu.
func (r *leadership) advanceWaves(now anvilclock.Millis) {
	waves := r.state.Waves()
	r.upkeep.unavailable = r.targetsInMaintenance(waves)
	if len(waves) == 0 {
		return
	}
	r.listMachines(now)
	effects := r.upkeep.coordinator.Step(now, r.wallClock.Now(), waves, r.upkeep.list, r.load)
	r.pendingCommands = append(r.pendingCommands, effects.Commands...)
	for _, id := range effects.Stop {
		for task := range r.state.Runs(id) {
			if r.state.MayStop(r.stopping, task) {
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
func (r *leadership) targetsInMaintenance(waves []*anvilwork.Wave) map[anvilid.TargetID]bool {
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
	for _, target := range r.state.Targets() {
		if inMaintenance[target.Machine] {
			unavailable[target.ID] = true
		}
	}
	return unavailable
}

// load returns what the maintenance of a target's machine would end: the number of
// runs on the target, whether one of them must not be stopped, and the work that
// would be lost.
func (r *leadership) load(id anvilid.TargetID) anvilupkeep.Load {
	load := anvilupkeep.Load{}
	runs := slices.Collect(maps.Keys(r.state.Runs(id)))
	load.ProtectedTogether = !r.state.MayStop(r.stopping, runs...)
	for _, task := range runs {
		load.Runs++
		load.Protected = load.Protected || !r.state.MayStop(r.stopping, task)
		if job, ok := r.state.Job(task.Job); ok {
			load.Loss += anvilplace.Loss(job, task, r.logTime())
		}
	}
	return load
}

// stopping reports whether the run of a task is being stopped.
func (r *leadership) stopping(task anvilwork.Task) bool {
	job, ok := r.state.Job(task.Job)
	return ok && r.tracker.Stopping(job.State(task).Target, task)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range r.state.Targets() {
		list.AddAnnounced(target.Machine, target.ID)
	}
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
		l.mu.Lock()
		defer l.mu.Unlock()
		wave, known := l.state.Wave(anvilwork.WaveNumber(call.Number))
		return &anvilrpc.WaveReply{Done: true, Known: known, Completed: known && wave.Completed()}, nil
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

package anvillead

import (
	"context"
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
	// listInterval is how often the machines are listed while a wave runs; each
	// list is paid for.
	listInterval = 1500 * anvilclock.Millisecond
	// machineTimeout bounds a call about machines.
	machineTimeout = 5 * time.Second
)

// upkeep is what the leader knows of the machines in its term.
type upkeep struct {
	keeper  *anvilupkeep.Coordinator
	list    anvilupkeep.MachineList
	listing bool
	next    anvilclock.Millis // no list before
	// closed are the targets on machines that are emptied or down.
	closed map[anvilid.TargetID]bool
}

// keepUp carries the waves on. The caller holds the lock of the state.
func (r *leadership) keepUp(now anvilclock.Millis) {
	waves := r.state.Waves()
	r.upkeep.closed = r.closedTargets(waves)
	if len(waves) == 0 {
		return
	}
	r.listMachines(now)
	effects := r.upkeep.keeper.Step(now, r.wall.Now(), waves, r.upkeep.list, r.load)
	r.pending = append(r.pending, effects.Commands...)
	for _, id := range effects.Stop {
		for task := range r.state.Runs(id) {
			if r.state.MayStop(task) {
				r.tracker.StopRun(id, task)
			}
		}
	}
	for _, order := range effects.Orders {
		go r.orderUpkeep(order)
	}
}

// closedTargets finds the targets on machines that are in upkeep, by their own
// word and by the list.
func (r *leadership) closedTargets(waves []*anvilwork.Wave) map[anvilid.TargetID]bool {
	closed := map[anvilid.TargetID]bool{}
	inUpkeep := anvilwork.MachinesInMaintenance(waves)
	if len(inUpkeep) == 0 {
		return closed
	}
	for machine := range inUpkeep {
		if listed, ok := r.upkeep.list.Machines[machine]; ok {
			closed[listed.Target] = true
		}
	}
	for _, target := range r.state.Targets() {
		if inUpkeep[target.Machine] {
			closed[target.ID] = true
		}
	}
	return closed
}

// load sums up what runs on a target.
func (r *leadership) load(id anvilid.TargetID) anvilupkeep.Load {
	load := anvilupkeep.Load{}
	for task := range r.state.Runs(id) {
		load.Runs++
		load.Protected = load.Protected || !r.state.MayStop(task)
		if job, ok := r.state.Job(task.Job); ok {
			load.Loss += anvilplace.Loss(job, task, r.wall.Now())
		}
	}
	return load
}

func (r *leadership) listMachines(now anvilclock.Millis) {
	if r.upkeep.listing || now < r.upkeep.next {
		return
	}
	r.upkeep.listing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), machineTimeout)
		defer cancel()
		machines, err := r.orders.ListMachines(ctx)
		if err != nil {
			r.log.Write(anvillogs.MachinesUnknown, zap.Error(err))
		}
		r.answer(func(after anvilclock.Millis) anvilorder.Effects {
			r.upkeep.listing, r.upkeep.next = false, after+listInterval
			if err == nil {
				r.upkeep.list = anvilupkeep.MachineList{Sent: now, Machines: machines}
			}
			return anvilorder.Effects{}
		})
	}()
}

func (r *leadership) orderUpkeep(order anvilupkeep.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), machineTimeout)
	defer cancel()
	verdict, err := r.orders.OrderUpkeep(ctx, order, anvilid.Token(r.term))
	r.log.Write(anvillogs.UpkeepOrdered, zap.String("machine", string(order.Machine)), zap.Uint64("wave", uint64(order.Wave)),
		zap.Uint8("verdict", uint8(verdict)), zap.Error(err))
	r.answer(func(now anvilclock.Millis) anvilorder.Effects {
		return anvilorder.Effects{Commands: r.upkeep.keeper.Answered(now, order, verdict).Commands}
	})
}

// Wave starts a wave, or shows one.
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
		zap.Int("limit", wave.Limit), zap.Int64("span", int64(wave.Span)))
	return &anvilrpc.WaveReply{Done: true, Known: true}, nil
}

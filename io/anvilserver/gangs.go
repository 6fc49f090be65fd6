package anvilserver

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilfleet"
	"anvilshunt/io/anvilgang"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvilrpc"
)

// newOwner returns the anvilgang.Owner of this instance, which reserves, prepares, starts and stops the
// members of gangs on the targets that this instance owns.
func (s *Server) newOwner() *anvilgang.Owner {
	return anvilgang.NewOwner(s.clock, s.log, anvilgang.OwnerCalls{
		ReservedSlotsFree: func(target anvilid.TargetID, token anvilid.Token) bool {
			s.mu.Lock()
			seen := uint64(s.view.Index) >= uint64(token)
			s.mu.Unlock()
			return seen && s.fleet.ReservedSlotsFree(target)
		},
		AdoptedSince: s.fleet.AdoptedSince,
		CallTask:     s.callTask,
		Propose:      s.client.Propose,
		Job:          s.job,
	})
}

// callTask has an owned target prepare, start, renew or stop the task of a gang member, as verb says.
func (s *Server) callTask(ctx context.Context, target anvilid.TargetID, verb string, member anvilgang.Member, lease anvilclock.Millis) (anvilreport.Task, error) {
	task, err := s.fleet.CallTask(ctx, target, verb, member.Job, member.Index, anvilfleet.TaskCall{
		Token: member.Token, Accelerators: member.Accelerators, Lease: lease,
		Payload: string(member.Payload), Checkpoint: verb == string(anvilgang.Stop),
	})
	switch {
	case errors.Is(err, anvilfleet.ErrUnknownTask):
		err = fmt.Errorf("%w: %w", anvilgang.ErrUnknownMember, err)
	case errors.Is(err, anvilfleet.ErrNotOwned):
		err = fmt.Errorf("%w: %w", anvilgang.ErrNotOwned, err)
	}
	return task, err
}

// newDriver returns the anvilgang.Driver of this voter, which places, starts and stops whole gangs
// while the voter is the leader.
func (s *Server) newDriver(v *voter) *anvilgang.Driver {
	return anvilgang.NewDriver(s.clock, s.log, anvilgang.DriverCalls{
		Leading: v.service.Leading,
		Term:    func() anvilid.Term { return v.node.Status().Term },
		Planned: func() (planned anvilid.Index) {
			v.replica.Read(func(machine *anvilstate.Machine) { planned = machine.PlanningIndex() })
			return planned
		},
		State: v.plannerState,
		Job: func(id anvilid.JobID) (job anvilstate.Job, ok bool) {
			v.replica.Read(func(machine *anvilstate.Machine) { job, ok = machine.Job(id) })
			return job, ok
		},
		Propose: s.client.Propose,
		Execute: s.executeMember,
		TargetLost: func(member anvilstate.Member) (lost bool) {
			v.replica.Read(func(machine *anvilstate.Machine) {
				target, ok := machine.Target(member.Target)
				lost = !ok || target.Incarnation != member.Incarnation
			})
			return lost
		},
	})
}

// plannerState reads the part of the replicated state that the gang planner uses.
func (v *voter) plannerState() (state anvilgang.State) {
	v.replica.Read(func(machine *anvilstate.Machine) {
		state = anvilgang.State{
			Targets: machine.Targets(), Config: machine.Config().Clone(), Jobs: machine.LiveJobs(),
			ShortOnlyTargets: map[anvilid.TargetID]bool{},
		}
		for _, object := range state.Config.List() {
			if object.Service != nil {
				maps.Copy(state.ShortOnlyTargets, machine.ShortRequestTargets(anvilid.ServiceName(object.Name)))
			}
		}
	})
	return state
}

// executeMember calls the instance that owns the target of a gang member and has it reserve, prepare,
// start or stop the member.
func (s *Server) executeMember(ctx context.Context, action anvilgang.Action, member anvilgang.Member) error {
	_, owner, ok := s.target(member.Target)
	if !ok || owner.ID == "" {
		return fmt.Errorf("%w: target %q has no owner", anvilgang.ErrNotOwned, member.Target)
	}
	if owner.ID == s.settings.Instance {
		return s.owner.Execute(ctx, action, member)
	}
	reply, err := s.links.Peer(anvillink.Member, owner.Peer).Member(ctx, &anvilrpc.MemberRequest{
		Job: string(member.Job), Member: int32(member.Index), Token: uint64(member.Token),
		Target: string(member.Target), Action: string(action),
		Accelerators: int32(member.Accelerators), Payload: member.Payload,
	})
	switch {
	case err != nil:
		return fmt.Errorf("instance %q: %w", owner.ID, err)
	case reply.Done:
		return nil
	case reply.NotOwned:
		return fmt.Errorf("%w: instance %q: %s", anvilgang.ErrNotOwned, owner.ID, reply.Detail)
	}
	return fmt.Errorf("instance %q: %s", owner.ID, reply.Detail)
}

// Member reserves, prepares, starts or stops a gang member on a target that this instance owns. The
// leader calls it.
func (p peerService) Member(ctx context.Context, call *anvilrpc.MemberRequest) (*anvilrpc.MemberReply, error) {
	err := p.server.owner.Execute(ctx, anvilgang.Action(call.Action), anvilgang.Member{
		Job: anvilid.JobID(call.Job), Index: int(call.Member), Token: anvilid.Token(call.Token),
		Target: anvilid.TargetID(call.Target), Accelerators: anvilid.AcceleratorCount(call.Accelerators),
		Payload: call.Payload,
	})
	if err != nil {
		return &anvilrpc.MemberReply{Detail: err.Error(), NotOwned: errors.Is(err, anvilgang.ErrNotOwned)}, nil
	}
	return &anvilrpc.MemberReply{Done: true}, nil
}

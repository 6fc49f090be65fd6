package anvillead

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilgate"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// Evacuate begins or ends the evacuation of a zone, or lists the evacuated zones. It reports that a change is done
// once a quorum has stored it, also if an earlier call has made the same change.
func (l *Leader) Evacuate(ctx context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
	if r := l.redirection(); r != nil {
		return &anvilrpc.EvacuateReply{Redirection: r}, nil
	}
	if call.Zone == "" {
		reply := &anvilrpc.EvacuateReply{Done: true}
		l.shared.With(func(s *shared) { reply.Zones = evacuatedZones(s.state) })
		return reply, nil
	}
	// The instance that sent the call may have given it up while the call was held up on a cut link.
	if !anvilgate.IsAwaited(ctx) {
		return &anvilrpc.EvacuateReply{}, ctx.Err()
	}
	zone := anvilid.ZoneName(call.Zone)
	command := anvilwork.Command{Evacuate: &anvilwork.Evacuate{Zone: zone}}
	if call.End {
		command = anvilwork.Command{EndEvacuation: &anvilwork.EndEvacuation{Zone: zone}}
	}
	results, err := l.commit(ctx, command)
	if err != nil {
		l.log.Write(anvillogs.CommitFailed, zap.String("zone", call.Zone), zap.Bool("end", call.End), zap.Error(err))
		return &anvilrpc.EvacuateReply{}, nil
	}
	result := anvilwork.Refused
	if len(results) == 1 {
		result = results[0]
	}
	l.log.Write(anvillogs.ZoneEvacuated, zap.String("zone", call.Zone), zap.Bool("end", call.End), zap.Uint8("result", uint8(result)))
	return &anvilrpc.EvacuateReply{Done: result != anvilwork.Refused}, nil
}

// evacuatedZones returns the evacuated zones, each with its targets and the runs that are still assigned to them.
func evacuatedZones(state *anvilwork.State) []*anvilrpc.EvacuatedZone {
	byName := map[anvilid.ZoneName]*anvilrpc.EvacuatedZone{}
	var zones []*anvilrpc.EvacuatedZone
	for _, evacuation := range state.Evacuations() {
		zone := &anvilrpc.EvacuatedZone{Zone: string(evacuation.Zone), Since: int64(evacuation.Since)}
		byName[evacuation.Zone], zones = zone, append(zones, zone)
	}
	for _, target := range state.Targets() {
		if zone := byName[target.Zone]; zone != nil {
			zone.Targets++
			zone.Runs += int64(len(state.Runs(target.ID)))
		}
	}
	return zones
}

// zoneEvacuated reports whether the zone of a target is evacuated.
func (l *Leader) zoneEvacuated(target anvilwork.Target) (evacuated bool) {
	l.shared.With(func(s *shared) { evacuated = s.state.Evacuated(target.Zone) })
	return evacuated
}

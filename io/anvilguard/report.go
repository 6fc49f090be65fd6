package anvilguard

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/io/anvillogs"
)

// LogTo returns the report function of a guard with the given limits that writes the event that clients gave way.
func LogTo(log *anvillogs.Logger, limits anvilbudget.Limits) func(anvilbudget.Counts) {
	return func(counts anvilbudget.Counts) {
		log.Write(anvillogs.ClientsGaveWay,
			zap.Int64("closed", counts.Closed), zap.Int64("refused", counts.Refused), zap.Int64("yielded", counts.Yielded),
			zap.Int("connections", counts.Connections), zap.Int("limit", limits.Connections),
			zap.Int("peers", counts.Peers), zap.Int("reserved", limits.Peers),
			zap.Int64("bytes", int64(counts.Bytes)), zap.Int64("budget", int64(limits.Bytes)),
			zap.Int64("calls", int64(counts.Calls)), zap.Int64("callbudget", int64(limits.PeerBytes)))
	}
}

package anvilguard

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilbudget"
)

// Fields returns the fields of the log event that clients gave way.
func Fields(counts anvilbudget.Counts, limits anvilbudget.Limits) []zap.Field {
	return []zap.Field{
		zap.Int64("closed", counts.Closed), zap.Int64("refused", counts.Refused), zap.Int64("yielded", counts.Yielded),
		zap.Int("connections", counts.Connections), zap.Int("limit", limits.Connections),
		zap.Int64("bytes", int64(counts.Bytes)), zap.Int64("budget", int64(limits.Bytes)),
	}
}

// Package anvilduty runs periodic background tasks.
package anvilduty

import (
	"context"
	"time"
)

// Every calls do once per period until ctx is done. Calls don't overlap: a call that takes
// longer than the period delays the next one.
func Every(ctx context.Context, period time.Duration, do func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			do(ctx)
		}
	}
}

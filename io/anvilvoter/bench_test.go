package anvilvoter

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
)

// BenchmarkPropose proposes commands of 200 bytes to three voters in this
// process, each with a data directory.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			_, members := newGroup(b, 3)
			m := leader(b, members...)
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			done := make(chan error, callers)
			for range callers {
				go func() {
					var err error
					for err == nil && left.Add(-1) >= 0 {
						_, _, err = m.Propose(context.Background(), make([]byte, 200))
					}
					done <- err
				}()
			}
			for range callers {
				if err := <-done; err != nil {
					b.Error(err)
				}
			}
		})
	}
}

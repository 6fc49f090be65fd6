package anvilvoter

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkPropose proposes commands of 200 bytes to a group of three voters in
// this process, each with a data directory. Each caller waits for the result
// before its next command.
func BenchmarkPropose(b *testing.B) {
	for _, perCore := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers=%dxcores", perCore), func(b *testing.B) {
			_, members := newGroup(b, 3)
			m := leader(b, members...)
			b.SetParallelism(perCore)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, _, err := m.Propose(context.Background(), make([]byte, 200)); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

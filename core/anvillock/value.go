// Package anvillock has values that goroutines share and that can't be reached without their lock.
package anvillock

import "sync"

// Value is a value that is only reached through With, so that no read or write of it can lack the lock.
type Value[T any] struct {
	mu    sync.Mutex
	value T
}

// New returns a Value.
func New[T any](value T) *Value[T] { return &Value[T]{value: value} }

// With calls a function with the value while the lock is held. The function must keep no pointer to what may change later,
// such as the value itself, and must not call With of the same Value.
func (v *Value[T]) With(f func(*T)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.value)
}

package anvilbudget

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilid"
)

const (
	// bodyFraction is the inverse of the fraction of the memory limit that bodies may hold. The garbage of growing
	// buffers, the decoded documents and the collector's slack take a multiple of it.
	bodyFraction = 8
	// defaultBytes is the limit of the bytes of bodies if the memory limit isn't known.
	defaultBytes = 64 << 20
	// LargestCall is the size of the largest body of a call from another instance: a configuration of 4 MiB as it was
	// sent, and once more as it was decoded.
	LargestCall anvilid.ByteCount = 9 << 20
)

// ErrMemoryLimit means that the memory limit of a process doesn't leave room for one largest body.
var ErrMemoryLimit = errors.New("the memory limit is too low")

// BytesFor returns how many bytes of bodies a process may hold under a memory limit, which is 0 if it isn't known. The
// error is ErrMemoryLimit if that is less than the largest body that the process reads.
func BytesFor(memory, largest anvilid.ByteCount) (anvilid.ByteCount, error) {
	bytes := anvilid.ByteCount(defaultBytes)
	if memory > 0 {
		bytes = memory / bodyFraction
	}
	if bytes < largest {
		return 0, fmt.Errorf("%w: %d bytes leave %d for bodies, but one may have %d; raise it to at least %d",
			ErrMemoryLimit, memory, bytes, largest, largest*bodyFraction)
	}
	return bytes, nil
}

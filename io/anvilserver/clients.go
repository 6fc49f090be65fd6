package anvilserver

import (
	"math"
	"net/http"
	"runtime/debug"
	"syscall"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilguard"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvilsettings"
)

const (
	// ownDescriptors are left to files and to the connections that the instance opens.
	ownDescriptors = 300
	// peerFraction is the inverse of the fraction of the connections that is reserved for other instances.
	peerFraction = 8
	// softMemoryFraction is the fraction of the memory limit near which the garbage collector runs more often. The rest is
	// left to what Go doesn't count, such as the pages of the program, and to garbage that is made faster than it is
	// collected.
	softMemoryFraction = 0.6
)

// clientLimits returns what clients may make an instance hold, under Go's memory limit and the limit of open files of
// the process, each of which is the largest number of its type if there is none.
func clientLimits(l anvilsettings.Limits, memory int64, files uint64) (anvilbudget.Limits, error) {
	limits := anvilbudget.Limits{Connections: l.Connections, Bytes: l.Buffers}
	if files < math.MaxInt32 {
		limits.Connections = min(limits.Connections, max(int(files)-ownDescriptors, int(files)/2))
	}
	limits.Peers = limits.Connections / peerFraction
	var err error
	if limits.Bytes == 0 { // else checked with the settings
		if memory == math.MaxInt64 {
			memory = 0
		}
		limits.Bytes, err = anvilbudget.BytesFor(anvilid.ByteCount(memory), max(l.Body, anvilsettings.MaxChange))
	}
	limits.PeerBytes = max(limits.Bytes, anvilbudget.LargestCall)
	return limits, err
}

// newGuard returns the guard of the instance's listeners.
func (s *Server) newGuard() (*anvilguard.Guard, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		files.Cur = math.MaxUint64 // the setting alone applies
	}
	memory := debug.SetMemoryLimit(-1)
	limits, err := clientLimits(s.settings.Limits, memory, files.Cur)
	if err != nil {
		return nil, err
	}
	if memory < math.MaxInt64 {
		debug.SetMemoryLimit(int64(float64(memory) * softMemoryFraction))
	}
	account := func(r *http.Request) string { return r.Header.Get(anvilhttp.AccountHeader) }
	return anvilguard.New(limits, account, anvilguard.LogTo(s.log, limits)), nil
}

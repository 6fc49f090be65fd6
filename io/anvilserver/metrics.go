package anvilserver

import (
	"expvar"
	"io"
	"runtime"
)

// metrics contains the counters of one instance. They are not published in the global expvar
// registry, so that several instances can run in one process.
type metrics struct {
	all         *expvar.Map
	linkBytes   *expvar.Map
	leaseLapses *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), linkBytes: new(expvar.Map).Init(), leaseLapses: new(expvar.Int)}
	m.all.Set("link_bytes", m.linkBytes)
	m.all.Set("lease_lapses", m.leaseLapses)
	return m
}

// publish adds the metrics whose values are read from the components of the instance.
func (m *metrics) publish(s *Server) {
	values := map[string]func() any{
		"answers":  func() any { return s.dispatcher.Counts() },
		"admitted": func() any { return s.dispatcher.Admitted() },
		"queued":   func() any { return s.dispatcher.Queued() },
		"fleet":    func() any { return s.fleet.Counts() },
		"slots":    func() any { return s.fleet.Loads() },
		"leased":   func() any { return s.isLeased() },
		"memory":   memory,
		"clients":  func() any { return s.guard.Counts() },
		"ignored":  func() any { return s.ignored.Total() },
		// burn_dropped is the number of requests that are missing from the history of the
		// objectives.
		"burn_dropped": func() any { return s.burnRecorder.droppedRequests() },
	}
	for name, value := range values {
		m.all.Set(name, expvar.Func(value))
	}
}

func memory() any {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return struct {
		Heap   uint64 `json:"heap"`
		System uint64 `json:"system"`
	}{stats.HeapAlloc, stats.Sys}
}

func (m *metrics) write(out io.Writer) error {
	_, err := io.WriteString(out, m.all.String())
	return err
}

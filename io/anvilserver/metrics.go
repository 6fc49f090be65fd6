package anvilserver

import (
	"expvar"
	"io"
	"runtime"
)

// metrics are the counters of one instance. They aren't published globally,
// so that several instances can run in one process.
type metrics struct {
	all    *expvar.Map
	link   *expvar.Map
	lapses *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), link: new(expvar.Map).Init(), lapses: new(expvar.Int)}
	m.all.Set("link_bytes", m.link)
	m.all.Set("lease_lapses", m.lapses)
	return m
}

// publish adds the values that are read from the parts of the instance.
func (m *metrics) publish(s *Server) {
	values := map[string]func() any{
		"answers":  func() any { return s.desk.Counts() },
		"admitted": func() any { return s.desk.Admitted() },
		"queued":   func() any { return s.desk.Queued() },
		"fleet":    func() any { return s.fleet.Counts() },
		"slots":    func() any { return s.fleet.Loads() },
		"leased":   func() any { return s.isLeased() },
		"memory":   memory,
		// burn_dropped counts requests missing from the history of objectives.
		"burn_dropped": func() any { return s.tally.dropped() },
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

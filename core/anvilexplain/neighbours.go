package anvilexplain

import (
	"encoding/json"
	"io"
	"time"
)

// Neighbour is how runs of a queue change their speed beside runs of another one on the same target.
type Neighbour struct {
	Victim string `json:"victim"`
	Beside string `json:"beside"`
	// Factor is the speed beside the other queue, relative to that without it.
	Factor float64 `json:"factor"`
	// Error is the standard error of the natural logarithm of the factor, and Runs the number of runs that show it.
	Error float64 `json:"error"`
	Runs  int     `json:"runs"`
	// Slows means that it counts as a slowdown, so that the queues are kept apart where that costs nothing if the
	// voters are told to.
	Slows bool `json:"slows"`
}

// Neighbours is the latest table of neighbours in logs.
type Neighbours struct {
	Time  time.Time   `json:"time"`
	Pairs []Neighbour `json:"pairs"`
}

// Read replaces the table by the one in a log, if that is later.
func (n *Neighbours) Read(log io.Reader) error {
	return readEvent(log, eventNeighboursMeasured, n.replace)
}

func (n *Neighbours) replace(at time.Time, text string) {
	var fields struct {
		Victims []string  `json:"victims"`
		Besides []string  `json:"besides"`
		Slows   []bool    `json:"slows"`
		Factors []float64 `json:"factors"`
		Errors  []float64 `json:"errors"`
		Runs    []int     `json:"runs"`
	}
	if at.Before(n.Time) || json.Unmarshal([]byte(text), &fields) != nil {
		return
	}
	count := min(len(fields.Victims), len(fields.Besides), len(fields.Slows), len(fields.Factors), len(fields.Errors), len(fields.Runs))
	n.Time, n.Pairs = at, make([]Neighbour, 0, count)
	for i := range count {
		n.Pairs = append(n.Pairs, Neighbour{
			Victim: fields.Victims[i], Beside: fields.Besides[i], Factor: fields.Factors[i], Error: fields.Errors[i],
			Runs: fields.Runs[i], Slows: fields.Slows[i],
		})
	}
}

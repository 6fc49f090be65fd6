package anvilexplain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	eventSpeedsRecorded     = 645
	eventNeighboursMeasured = 647
)

// Speed is the lasting speed of a machine as it was recorded last.
type Speed struct {
	Machine string `json:"machine"`
	// Speed is 1 for an ordinary machine and 2 for one that is twice as fast.
	Speed float64 `json:"speed"`
	// Error is the standard error of the natural logarithm of the speed, and Comparisons the number of steps and gangs
	// that it was learnt from.
	Error       float64   `json:"error"`
	Comparisons int       `json:"comparisons"`
	Time        time.Time `json:"time"`
}

// Speeds contains the latest speed of each machine in logs.
type Speeds map[string]Speed

// Read adds the speeds in a log. Lines of other events and ones that can't be parsed are ignored.
func (s Speeds) Read(log io.Reader) error { return readEvent(log, eventSpeedsRecorded, s.add) }

// readEvent calls add with the time and the JSON text of each line about an event.
func readEvent(log io.Reader, event int, add func(time.Time, string)) error {
	mark := fmt.Sprintf(`"event":%d`, event)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, mark) {
			continue
		}
		if line, ok := parseLine(text[start:]); ok && line.Event == event {
			add(line.Time, text[start:])
		}
	}
	return scanner.Err()
}

// add adds the speeds of one line.
func (s Speeds) add(at time.Time, text string) {
	var fields struct {
		Machines    []string  `json:"machines"`
		Speeds      []float64 `json:"speeds"`
		Errors      []float64 `json:"errors"`
		Comparisons []int     `json:"comparisons"`
	}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return
	}
	count := min(len(fields.Machines), len(fields.Speeds), len(fields.Errors), len(fields.Comparisons))
	for i, machine := range fields.Machines[:count] {
		if known, ok := s[machine]; ok && known.Time.After(at) {
			continue
		}
		s[machine] = Speed{Machine: machine, Speed: fields.Speeds[i], Error: fields.Errors[i], Comparisons: fields.Comparisons[i], Time: at}
	}
}

// Sorted returns the speeds from the slowest to the fastest machine.
func (s Speeds) Sorted() []Speed {
	sorted := make([]Speed, 0, len(s))
	for _, speed := range s {
		sorted = append(sorted, speed)
	}
	slices.SortFunc(sorted, func(a, b Speed) int {
		return cmp.Or(cmp.Compare(a.Speed, b.Speed), cmp.Compare(a.Machine, b.Machine))
	})
	return sorted
}

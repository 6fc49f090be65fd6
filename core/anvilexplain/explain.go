// Package anvilexplain finds out from log lines what became of one request or
// job. It knows only what the logs say.
package anvilexplain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line that names the id.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    int            `json:"event"`
	Text     string         `json:"text"`
	Fields   map[string]any `json:"fields"`
}

// Explanation is what the logs say of one id.
type Explanation struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`
	Verdict string `json:"verdict"`
}

// ErrUnknown reports an id that no line names.
var ErrUnknown = errors.New("no log line names this id")

// maxLine bounds one log line.
const maxLine = 1 << 20

// Numbers of the events that decide what happened; docs/events.md lists them.
const (
	eventAccepted  = 604
	eventRefused   = 605
	eventCancelled = 606
	eventPlaced    = 607
	eventStart     = 608
	eventSilent    = 609
	eventRunEnded  = 610
	eventVoided    = 611
	eventEvicted   = 612
	eventEnded     = 619
	eventFailed    = 701
)

// Outcomes of runs as events write them.
const outcomeFailed = 2

// Read takes the lines that name an id from one log. Text before the JSON
// object of a line is skipped, and lines without one are ignored.
func Read(log io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		if line, ok := parse(text[start:]); ok && line.names(id) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text string) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	number, isEvent := fields["event"].(float64)
	if err != nil || !isEvent {
		return Line{}, false
	}
	line.Time, line.Event = at, int(number)
	line.Instance, _ = fields["instance"].(string)
	line.Text, _ = fields["msg"].(string)
	for _, known := range []string{"time", "event", "instance", "msg", "level"} {
		delete(fields, known)
	}
	return line, true
}

// names tells whether a line is about an id, and not about a longer one.
func (l Line) names(id string) bool {
	for name, value := range l.Fields {
		text, ok := value.(string)
		if !ok {
			continue
		}
		switch name {
		case "path":
			if strings.HasSuffix(text, "/"+id) {
				return true
			}
		default:
			if text == id || strings.HasPrefix(text, id+".") {
				return true
			}
		}
	}
	return false
}

// Explain orders the lines and says in one sentence what happened.
func Explain(id string, lines []Line) (Explanation, error) {
	if len(lines) == 0 {
		return Explanation{}, fmt.Errorf("%w: %q; give the logs of all instances of that time", ErrUnknown, id)
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event))
	})
	return Explanation{ID: id, Lines: lines, Verdict: verdict(id, lines)}, nil
}

// tally counts what decides the verdict.
type tally struct {
	events  map[int]int
	last    map[int]Line
	failed  int
	evicted int
}

func count(id string, lines []Line) tally {
	t := tally{events: map[int]int{}, last: map[int]Line{}}
	for _, line := range lines {
		t.events[line.Event]++
		t.last[line.Event] = line
		if line.Event == eventRunEnded && line.Fields["outcome"] == float64(outcomeFailed) {
			t.failed++
		}
		if task, _ := line.Fields["task"].(string); line.Event == eventEvicted && strings.HasPrefix(task, id+".") {
			t.evicted++
		}
	}
	return t
}

func verdict(id string, lines []Line) string {
	t := count(id, lines)
	ended, isOver := t.last[eventEnded]
	switch {
	case isOver:
		return t.over(ended)
	case t.events[eventAccepted] == 0 && t.events[eventFailed] > 0:
		return fmt.Sprintf("%d calls reached no leader in time (%v), and no line says that the job was accepted: it was not run if the answer was a refusal, and may have been stored if none came.",
			t.events[eventFailed], t.last[eventFailed].Fields["error"])
	case t.events[eventAccepted] == 0 && t.events[eventRefused] > 0:
		return fmt.Sprintf("The job was not stored (%v), and nothing of it ran.", t.last[eventRefused].Fields["error"])
	case t.events[eventAccepted] == 0:
		return "No line says that the job was accepted or refused: the log of the leader of that time is missing."
	case t.events[eventCancelled] > 0:
		return "The job was cancelled by its caller."
	case t.events[eventPlaced] == 0:
		return "The job was accepted and never placed: there was no room for it, or no target fits it."
	}
	return fmt.Sprintf("The job was accepted and placed %d times, and no line says that it ended: %s.", t.events[eventPlaced], t.causes())
}

// over explains a job that has ended.
func (t tally) over(ended Line) string {
	took, _ := ended.Fields["took"].(float64)
	limit, _ := ended.Fields["limit"].(float64)
	waited, _ := ended.Fields["waited"].(float64)
	phase := fmt.Sprint(ended.Fields["phase"])
	if phase != "done" || took <= limit {
		return fmt.Sprintf("The job ended as %s after %.0f ms, of %.0f ms that it should take at most: %s.", phase, took, limit, t.causes())
	}
	cause := t.causes()
	if waited > limit/2 {
		cause = fmt.Sprintf("it waited %.0f ms for room", waited)
	}
	return fmt.Sprintf("The job was late: it took %.0f ms instead of %.0f ms, because %s.", took, limit, cause)
}

// causes lists what held a job up.
func (t tally) causes() string {
	var causes []string
	add := func(number int, format string) {
		if number > 0 {
			causes = append(causes, fmt.Sprintf(format, number))
		}
	}
	add(t.failed, "%d runs failed at their targets")
	add(t.evicted, "%d runs were stopped for other jobs")
	add(t.events[eventSilent], "%d starts got no answer")
	add(t.events[eventStart], "%d starts were refused")
	add(t.events[eventVoided], "%d placements were taken back")
	if len(causes) == 0 {
		return "its runs took their time, nothing else is on record"
	}
	return strings.Join(causes, ", ")
}

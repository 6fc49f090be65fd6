// Package anvilexplain determines from log lines what happened to one request or job. It uses no
// other source than the logs.
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

// Line is one log line about the request or job that is to be explained. Fields contains the fields
// of the line that are not in the other fields of Line.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    int            `json:"event"`
	Text     string         `json:"text"`
	Fields   map[string]any `json:"fields"`
}

// Explanation is what the logs show about one request or job: the lines about its id, and a verdict,
// which says in one sentence what happened.
type Explanation struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`
	Verdict string `json:"verdict"`
}

// ErrUnknown is returned for an id that no log line contains.
var ErrUnknown = errors.New("no log line contains this id")

// slowSpeed is the lasting speed of a target below which its runs count as placed on a slow one.
const slowSpeed = 0.9

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Numbers of the log events that determine the verdict; docs/events.md lists them.
const (
	eventJobAccepted       = 604
	eventJobRefused        = 605
	eventJobCancelled      = 606
	eventRunPlaced         = 607
	eventStartUnconfirmed  = 608
	eventStartUnanswered   = 609
	eventRunEnded          = 610
	eventPlacementRevoked  = 611
	eventRunEvicted        = 612
	eventJobEnded          = 619
	eventStepIdle          = 634
	eventLeaderUnreachable = 701
)

// outcomeFailed is the number that the field "outcome" of a log event has for a failed run.
const outcomeFailed = 2

// Read returns the lines of a log that contain an id. Text before the JSON object of a line is
// skipped, and lines without a JSON object are ignored.
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
		if line, ok := parseLine(text[start:]); ok && line.isAbout(id) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseLine(text string) (Line, bool) {
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

// isAbout reports whether a line is about the given id, and not about a longer id that begins with
// it.
func (l Line) isAbout(id string) bool {
	for name, value := range l.Fields {
		switch value := value.(type) {
		case string:
			if name == "path" && endsPath(value, id) || value == id || strings.HasPrefix(value, id+".") {
				return true
			}
		case []any:
			if name == "paths" && slices.ContainsFunc(value, func(path any) bool { return endsPath(path, id) }) {
				return true
			}
		}
	}
	return false
}

// endsPath reports whether a path names an id.
func endsPath(path any, id string) bool {
	text, ok := path.(string)
	return ok && strings.HasSuffix(text, "/"+id)
}

// Explain sorts the log lines about a request or job by time and summarizes in one sentence what
// happened to it.
func Explain(id string, lines []Line) (Explanation, error) {
	if len(lines) == 0 {
		return Explanation{}, fmt.Errorf("%w: %q; pass the logs of all instances from that time", ErrUnknown, id)
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event))
	})
	return Explanation{ID: id, Lines: lines, Verdict: verdict(id, lines)}, nil
}

// eventCounts contains the information from log lines from which the verdict is derived.
type eventCounts struct {
	events      map[int]int  // number of lines with each event number
	last        map[int]Line // latest line with each event number
	failedRuns  int
	evictedRuns int
	// slowRuns is the number of runs that were placed on targets of less than slowSpeed, and slowest the
	// lowest speed of all.
	slowRuns int
	// disturbedRuns is the number of runs that were placed beside runs of a queue that slows them down, and
	// disturber one of these queues.
	disturbedRuns int
	disturber     string
	slowest       float64
	// idle is the longest time in ms for which no task was at work, and idleLine the line with it.
	idle     float64
	idleLine Line
}

func countEvents(id string, lines []Line) eventCounts {
	t := eventCounts{events: map[int]int{}, last: map[int]Line{}}
	t.idle, t.idleLine = longestIdle(lines)
	for _, line := range lines {
		t.events[line.Event]++
		t.last[line.Event] = line
		if speed, known := line.Fields["speed"].(float64); line.Event == eventRunPlaced && known {
			t.addSpeed(speed)
		}
		if queue, _ := line.Fields["slowedBy"].(string); line.Event == eventRunPlaced && queue != "" {
			t.disturbedRuns, t.disturber = t.disturbedRuns+1, queue
		}
		if line.Event == eventRunEnded && line.Fields["outcome"] == float64(outcomeFailed) {
			t.failedRuns++
		}
		if task, _ := line.Fields["task"].(string); line.Event == eventRunEvicted && strings.HasPrefix(task, id+".") {
			t.evictedRuns++
		}
	}
	return t
}

// addSpeed counts a run that was placed on a target with the given speed.
func (t *eventCounts) addSpeed(speed float64) {
	if speed >= slowSpeed {
		return
	}
	if t.slowRuns == 0 || speed < t.slowest {
		t.slowest = speed
	}
	t.slowRuns++
}

func verdict(id string, lines []Line) string {
	t := countEvents(id, lines)
	ended, hasEnded := t.last[eventJobEnded]
	switch {
	case hasEnded:
		return t.explainEnded(ended)
	case t.events[eventJobAccepted] == 0 && t.events[eventLeaderUnreachable] > 0:
		return fmt.Sprintf("%d calls did not reach the leader in time (%v), and no line shows that the job was accepted: if the caller got a refusal, the job was not run; if it got no answer, the job may have been stored.",
			t.events[eventLeaderUnreachable], t.last[eventLeaderUnreachable].Fields["error"])
	case t.events[eventJobAccepted] == 0 && t.events[eventJobRefused] > 0:
		return fmt.Sprintf("The job was not stored (%v), and no part of it ran.", t.last[eventJobRefused].Fields["error"])
	case t.events[eventJobAccepted] == 0:
		return "No line shows that the job was accepted or refused: the log of the instance that was the leader at that time is missing."
	case t.events[eventJobCancelled] > 0:
		return "The job was cancelled by its caller."
	case t.events[eventRunPlaced] == 0 && t.idle > 0:
		return fmt.Sprintf("The job was accepted but never placed: %s.", t.causes())
	case t.events[eventRunPlaced] == 0:
		return "The job was accepted but never placed: there was not enough free capacity, or no target fits it."
	}
	return fmt.Sprintf("The job was accepted and placed %d times, and no line shows that it ended: %s.", t.events[eventRunPlaced], t.causes())
}

// explainEnded returns the verdict for a job that has ended.
func (t eventCounts) explainEnded(ended Line) string {
	took, _ := ended.Fields["took"].(float64)
	limit, _ := ended.Fields["limit"].(float64)
	waited, _ := ended.Fields["waited"].(float64)
	phase := fmt.Sprint(ended.Fields["phase"])
	if phase != "done" || took <= limit {
		return fmt.Sprintf("The job ended as %s after %.0f ms (limit %.0f ms): %s.", phase, took, limit, t.causes())
	}
	cause := t.causes()
	if waited > limit/2 {
		cause = fmt.Sprintf("it waited %.0f ms for free capacity", waited)
	}
	return fmt.Sprintf("The job was late: it took %.0f ms instead of at most %.0f ms, because %s.", took, limit, cause)
}

// causes lists what delayed a job.
func (t eventCounts) causes() string {
	var causes []string
	add := func(number int, format string) {
		if number > 0 {
			causes = append(causes, fmt.Sprintf(format, number))
		}
	}
	add(t.failedRuns, "%d runs failed at their targets")
	add(t.evictedRuns, "%d runs were evicted to make room for other jobs")
	add(t.events[eventStartUnanswered], "%d starts got no answer from the target")
	add(t.events[eventStartUnconfirmed], "%d starts were not confirmed by the target")
	add(t.events[eventPlacementRevoked], "%d placements were revoked")
	if t.slowRuns > 0 {
		causes = append(causes, fmt.Sprintf("%d runs were placed on slower targets than ordinary ones (the slowest has %.2f of their speed)", t.slowRuns, t.slowest))
	}
	if t.disturbedRuns > 0 {
		causes = append(causes, fmt.Sprintf("%d runs were placed beside runs that slow them down (of queue %s)", t.disturbedRuns, t.disturber))
	}
	if t.idle > 0 {
		causes = append(causes, fmt.Sprintf("none of its tasks was at work for %.0f ms (%s)", t.idle, idleCauses(t.idleLine)))
	}
	if len(causes) == 0 {
		return "its runs took that long, and the logs show no other cause"
	}
	return strings.Join(causes, ", ")
}

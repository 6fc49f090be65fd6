package anvilexplain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// notReasons are the fields beside the reasons in the field "unplaced" of event 634.
var notReasons = []string{"targets", "tasks", "together", "room", "claims", "throttled"}

// longestIdle returns the longest time in ms for which the lines say that no task was at work, and the line with it.
func longestIdle(lines []Line) (longest float64, at Line) {
	for _, line := range lines {
		if idle, _ := line.Fields["idle"].(float64); line.Event == eventStepIdle && idle > longest {
			longest, at = idle, line
		}
	}
	return longest, at
}

// idleCauses returns why no task was at work, from a line about event 634.
func idleCauses(line Line) string {
	var causes []string
	for _, part := range objects(line.Fields["unplaced"]) {
		if part["throttled"] == true {
			causes = append(causes, "as many starts as allowed were in flight")
		}
		for _, name := range slices.Sorted(maps.Keys(part)) {
			if count, ok := part[name].(float64); ok && !slices.Contains(notReasons, name) {
				causes = append(causes, fmt.Sprintf("targets left out as %q: %.0f", name, count))
			}
		}
	}
	for _, run := range objects(line.Fields["runs"]) {
		causes = append(causes, fmt.Sprintf("run on %v was %q", run["target"], run["stage"]))
	}
	if unready, _ := line.Fields["unready"].(float64); unready > 0 {
		causes = append(causes, fmt.Sprintf("%.0f members of its gang had not ended", unready))
	}
	return strings.Join(causes, ", ")
}

// objects returns the JSON objects of a list.
func objects(list any) []map[string]any {
	var found []map[string]any
	entries, _ := list.([]any)
	for _, entry := range entries {
		if object, ok := entry.(map[string]any); ok {
			found = append(found, object)
		}
	}
	return found
}

package anvilstate

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// script runs one file of commands. A line that begins with "=" is the result of the line
// before. "at" sets the time, "limits" sets limits, "show" prints an object, "restore"
// continues from a snapshot, and other words are commands.
type script struct {
	m     *Machine
	index anvilid.Index
	at    anvilclock.Millis
}

// Guards against commands whose results differ from those in testdata. The flag -update
// writes the current results there; review them with git diff.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			assert.NilError(t, err)
			got := runScript(string(want))
			if golden.FlagUpdate() {
				assert.NilError(t, os.WriteFile(file, []byte(got), 0o644))
			}
			assert.Equal(t, got, string(want))
		})
	}
}

func runScript(text string) string {
	s := script{m: New(WithLimits(smallLimits()))}
	var out bytes.Buffer
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "=") {
			continue
		}
		fmt.Fprintln(&out, line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if result := s.line(strings.Fields(line)); result != "" {
			fmt.Fprintln(&out, "= "+strings.TrimRight(result, " "))
		}
	}
	return out.String()
}

func (s *script) line(words []string) string {
	switch words[0] {
	case "at":
		s.at = anvilclock.Millis(number(words[1]))
		return ""
	case "limits":
		limits := smallLimits()
		fmt.Sscan(strings.Join(words[1:], " "), &limits.ChangeIDs, &limits.Claims, &limits.EndedJobs)
		s.m = New(WithLimits(limits))
		return ""
	case "restore":
		data, err := s.m.Snapshot()
		if err == nil {
			s.m, err = Restore(data, WithLimits(s.m.limits))
		}
		if err != nil {
			return err.Error()
		}
		return ""
	case "show":
		return s.show(words[1])
	}
	s.index++
	return describe(s.m.Apply(s.index, s.at, parse(words)))
}

func (s *script) show(name string) string {
	if target, ok := s.m.targets[anvilid.TargetID(name)]; ok {
		return fmt.Sprintf("owner=%s epoch=%d next=%s reserved=%d leaving=%t", target.Owner, target.Epoch, target.NextOwner, target.Reserved, target.Leaving)
	}
	if name == "zones" {
		return fmt.Sprintf("%+v", s.m.Zones())
	}
	if job, ok := s.m.Job(anvilid.JobID(name)); ok {
		return describeJob(&job)
	}
	if name == "history" {
		return fmt.Sprint(s.m.History())
	}
	return "nothing"
}

func describe(r Result) string {
	text := fmt.Sprintf("%d", r.Index)
	if r.Code != "" {
		text += fmt.Sprintf(" %s: %s", r.Code, r.Detail)
	}
	if r.Revision != 0 {
		text += fmt.Sprintf(" revision=%d", r.Revision)
	}
	if c := r.Conflict; c != nil {
		text += fmt.Sprintf(" current=%d by=%s/%s differ=%v cut=%t", c.Revision, c.Operator, c.Change, c.ChangedObjects, c.Truncated)
	}
	if c := r.Claim; c != nil {
		text += " " + string(c.Verdict)
		if c.Token != 0 {
			text += fmt.Sprintf(" token=%d", c.Token)
		}
		if c.Holder != nil {
			text += fmt.Sprintf(" holder=%s/%d/%d", c.Holder.Instance, c.Holder.Incarnation, c.Holder.Attempt)
		}
		if c.Answer != nil {
			text += fmt.Sprintf(" body=%q omitted=%t", c.Answer.Body, c.Answer.Omitted)
		}
	}
	if r.Job != nil {
		text += " " + describeJob(r.Job)
	}
	if r.Moved != 0 {
		text += fmt.Sprintf(" moved=%d", r.Moved)
	}
	return text
}

func describeJob(job *Job) string {
	return fmt.Sprintf("job=%s %s token=%d %s", job.ID, job.State, job.Token, job.Detail)
}

func number(word string) uint64 {
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// parse parses one command. The scripts are part of the tests, so it panics on errors.
func parse(words []string) Command {
	arg := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	incarnation := func() anvilid.Incarnation { return anvilid.Incarnation(number(words[2])) }
	instance, target, job := anvilid.InstanceID(arg(1)), anvilid.TargetID(arg(1)), anvilid.JobID(arg(1))
	key := RequestKey{"a", "s", anvilid.RequestID(arg(1))}
	switch words[0] {
	case "join": // id incarnation region/zone
		region, zone, _ := strings.Cut(words[3], "/")
		return Command{Join: &JoinInstance{Instance{ID: instance, Incarnation: incarnation(), Region: anvilid.RegionName(region), Zone: anvilid.ZoneName(zone)}}}
	case "leave", "drain":
		return Command{Leave: &LeaveInstance{instance, incarnation(), words[0] == "drain"}}
	case "expire":
		return Command{Expire: &ExpireInstance{instance, incarnation()}}
	case "register": // id incarnation region/zone/rack accelerators service
		place := strings.Split(words[3], "/")
		return Command{Register: &RegisterTarget{Target{
			ID: target, Incarnation: incarnation(), Region: anvilid.RegionName(place[0]), Zone: anvilid.ZoneName(place[1]),
			Rack: anvilid.RackName(place[2]), Accelerators: anvilid.AcceleratorCount(number(words[4])), Service: anvilid.ServiceName(words[5]),
		}}}
	case "depart":
		return Command{Depart: &LeaveTarget{target, incarnation()}}
	case "remove":
		return Command{Remove: &RemoveTarget{target, incarnation()}}
	case "release": // id owner epoch
		return Command{Release: &ReleaseTarget{target, anvilid.InstanceID(words[2]), anvilid.Epoch(number(words[3]))}}
	case "evacuate", "return": // region/zone
		region, zone, _ := strings.Cut(words[1], "/")
		return Command{Evacuate: &EvacuateZone{anvilid.RegionName(region), anvilid.ZoneName(zone), words[0] == "return"}}
	case "rebalance":
		return Command{Rebalance: &Rebalance{Limit: int(number(words[1]))}}
	case "config":
		return configCommand(strings.Join(words[1:], " "))
	case "claim": // id holder digest
		return Command{Claim: &Claim{key, []byte(words[3]), holder(words[2])}}
	case "complete": // id holder body
		return Command{Complete: &Complete{Key: key, Holder: holder(words[2]), Answer: Answer{Status: 200, Body: []byte(arg(3))}}}
	case "lose":
		return Command{Complete: &Complete{Key: key, Holder: holder(words[2]), Lost: true}}
	case "abandon":
		return Command{Abandon: &Abandon{key, holder(words[2])}}
	case "submit": // id account service shape|accelerators payload
		submit := &SubmitJob{ID: job, Account: anvilid.AccountID(words[2]), Service: anvilid.ServiceName(words[3]), Payload: []byte(arg(5))}
		if n, err := strconv.Atoi(words[4]); err == nil {
			submit.Accelerators = anvilid.AcceleratorCount(n)
		} else {
			submit.Shape = anvilid.ShapeName(words[4])
		}
		return Command{Submit: submit}
	case "cancel":
		return Command{Cancel: &CancelJob{job}}
	case "place": // id target/incarnation/accelerators...
		place := &PlaceJob{ID: job}
		for _, word := range words[2:] {
			parts := strings.Split(word, "/")
			place.Members = append(place.Members, Member{
				Target: anvilid.TargetID(parts[0]), Incarnation: anvilid.Incarnation(number(parts[1])), Accelerators: anvilid.AcceleratorCount(number(parts[2])),
			})
		}
		return Command{Place: place}
	case "advance": // id token state detail
		return Command{Advance: &AdvanceJob{ID: job, Token: anvilid.Token(number(words[2])), State: JobState(words[3]), Detail: strings.Join(words[4:], " ")}}
	}
	panic("unknown word " + words[0])
}

// holder parses "instance/incarnation/attempt".
func holder(word string) Holder {
	parts := strings.Split(word, "/")
	return Holder{anvilid.InstanceID(parts[0]), anvilid.Incarnation(number(parts[1])), anvilid.Attempt(number(parts[2]))}
}

func configCommand(text string) Command {
	change, problems := anvilconfig.ParseChange([]byte(text))
	if len(problems) > 0 {
		panic(problems[0])
	}
	return Command{Config: &change}
}

package anvilwork

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestScripts runs the scripts in testdata. The first line of each script names the
// failure that it guards against. A line is a command with its expected result after "=>"
// (default: applied), or a check of the state. After each command the state is restored from
// a snapshot, and a snapshot of the restored state must have the same bytes.
func TestScripts(t *testing.T) { runScripts(t, "testdata/*.txt") }

// TestCrashingTaskIsGivenUp guards against starting a task again and again that crashes each target that
// starts it, and against giving up a task that lost its runs in crashes that another one caused.
func TestCrashingTaskIsGivenUp(t *testing.T) { runScripts(t, "testdata/crash/*.txt") }

// runScripts runs the scripts whose paths match a pattern.
func runScripts(t *testing.T, pattern string) {
	paths, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			file, err := os.Open(path)
			assert.NilError(t, err)
			defer file.Close()
			s := &script{t: t, state: New()}
			lines := bufio.NewScanner(file)
			for number := 1; lines.Scan(); number++ {
				line, _, _ := strings.Cut(lines.Text(), "#")
				if strings.TrimSpace(line) != "" {
					s.where = fmt.Sprintf("%s:%d: %s", path, number, line)
					s.line(line)
				}
			}
			assert.NilError(t, lines.Err())
		})
	}
}

type script struct {
	t     *testing.T
	state *State
	where string
	at    anvilclock.Millis
}

func (s *script) line(line string) {
	action, expected, _ := strings.Cut(line, "=>")
	words := strings.Fields(action)
	switch words[0] {
	case "at":
		s.at = anvilclock.Millis(s.number(words[1]))
	case "phase":
		job, ok := s.state.Job(anvilid.JobID(words[1]))
		assert.Assert(s.t, ok, s.where)
		assert.Equal(s.t, job.Phase.String(), words[2], s.where)
	case "task":
		s.check(words)
	case "unfit":
		config := s.config(words)
		assert.ErrorIs(s.t, config.Check(), ErrInvalid, s.where)
	case "version":
		assert.Equal(s.t, uint64(s.state.Config().Version), s.number(words[1]), s.where)
	case "machine":
		assert.Equal(s.t, MachinesInMaintenance(s.state.Waves())[anvilid.MachineID(words[1])], words[2] == "upkeep", s.where)
	case "capacity":
		target, ok := s.state.Target(anvilid.TargetID(words[1]))
		assert.Assert(s.t, ok, s.where)
		assert.Equal(s.t, uint64(target.Resources.GPU), s.number(words[2]), s.where)
	case "completed":
		wave, ok := s.state.Wave(WaveNumber(s.number(words[1])))
		assert.Assert(s.t, ok, s.where)
		assert.Equal(s.t, wave.Completed(), words[2] == "yes", s.where)
	case "evacuated":
		var zones []string
		for _, evacuation := range s.state.Evacuations() {
			assert.Assert(s.t, s.state.Evacuated(evacuation.Zone), s.where)
			zones = append(zones, fmt.Sprintf("%s:%d", evacuation.Zone, evacuation.Since))
		}
		assert.Equal(s.t, strings.Join(zones, " "), strings.Join(words[1:], " "), s.where)
	case "maystop":
		task, _ := s.run(words[1])
		assert.Equal(s.t, s.state.MayStop(func(Task) bool { return false }, task), words[2] == "yes", s.where)
	case "unfit-wave":
		wave := s.wave(words[1:])
		assert.ErrorIs(s.t, wave.Check(), ErrWave, s.where)
	case "superfluous":
		var found []string
		for _, run := range s.state.RunsToStop() {
			found = append(found, run.Task.String())
		}
		assert.Equal(s.t, strings.Join(found, " "), strings.Join(words[1:], " "), s.where)
	default:
		results := s.state.Apply(s.at, Batch{Commands: []Command{s.command(words)}})
		assert.Equal(s.t, results[0], s.result(expected), s.where)
		s.restoreFromSnapshot()
	}
}

// restoreFromSnapshot replaces the state by its restored snapshot and checks that a second
// snapshot has the same bytes.
func (s *script) restoreFromSnapshot() {
	data, err := s.state.Snapshot()
	assert.NilError(s.t, err, s.where)
	restored, err := Restore(data)
	assert.NilError(s.t, err, s.where)
	again, err := restored.Snapshot()
	assert.NilError(s.t, err, s.where)
	assert.DeepEqual(s.t, data, again)
	s.state = restored
}

func (s *script) result(word string) Result {
	word = strings.TrimSpace(word)
	for i, name := range []string{"applied", "unchanged", "refused", "unknown"} {
		if name == word || word == "" && i == 0 {
			return Result(i)
		}
	}
	s.t.Fatalf("%s: unknown result %q", s.where, word)
	return 0
}

func (s *script) command(words []string) Command {
	switch words[0] {
	case "config":
		return Command{Configure: s.config(words)}
	case "target":
		return Command{Announce: &Announce{Target: s.target(words)}}
	case "leave":
		return Command{Leave: &Leave{Target: anvilid.TargetID(words[1]), Incarnation: Incarnation(s.number(words[2])), Final: len(words) > 3}}
	case "submit":
		return Command{Submit: s.submit(words)}
	case "cancel":
		return Command{Cancel: &Cancel{Job: anvilid.JobID(words[1])}}
	case "place":
		place := &Place{}
		for _, word := range words[1:] {
			place.Assignments = append(place.Assignments, s.assignment(word))
		}
		return Command{Place: place}
	case "end":
		return Command{RecordRunEnds: s.runEnd(words)}
	case "void":
		task, run := s.run(words[1])
		return Command{Unassign: &Unassign{Task: task, Run: run}}
	case "saved":
		task, run := s.run(words[1])
		return Command{RecordCheckpoints: &RecordCheckpoints{Runs: []RunCheckpoint{{Task: task, Run: run, Checkpoint: words[2]}}}}
	case "wave":
		wave := s.wave(words[2:])
		wave.Number = WaveNumber(s.number(words[1]))
		return Command{StartWave: wave}
	case "advance":
		phase := slices.Index([]string{"waiting", "emptying", "ordered", "done"}, words[3])
		return Command{AdvanceWave: &AdvanceWave{
			Wave: WaveNumber(s.number(words[1])), Machine: anvilid.MachineID(words[2]), Phase: WavePhase(phase),
		}}
	case "silent", "answers":
		note := &NoteSilence{Target: anvilid.TargetID(words[1]), Incarnation: Incarnation(s.number(words[2])), Answers: words[0] == "answers"}
		for _, word := range words[3:] {
			if word == "closed" {
				note.Closed = true
				continue
			}
			if run, ok := strings.CutPrefix(word, "unknown="); ok {
				task, number := s.run(run)
				note.Unknown = append(note.Unknown, Unassign{Task: task, Run: number})
				continue
			}
			task, run := s.run(word)
			note.Begun = append(note.Begun, Unassign{Task: task, Run: run})
		}
		return Command{NoteSilence: note}
	case "evacuate":
		return Command{Evacuate: &Evacuate{Zone: s.zone(words)}}
	case "return":
		return Command{EndEvacuation: &EndEvacuation{Zone: s.zone(words)}}
	case "lapse":
		return Command{ExpireLease: &ExpireLease{Target: anvilid.TargetID(words[1]), Incarnation: Incarnation(s.number(words[2]))}}
	}
	s.t.Fatalf("%s: unknown action", s.where)
	return Command{}
}

func (s *script) number(word string) uint64 {
	number, err := strconv.ParseUint(word, 10, 64)
	assert.NilError(s.t, err, s.where)
	return number
}

// options parses words of the form "name=value" and "name".
func options(words []string) map[string]string {
	found := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		found[name] = value
	}
	return found
}

// config parses a command that publishes a configuration:
// "config VERSION [queue=NAME:SERVICE:ATTEMPTS:TIMEOUT:HOST/PREFIX]...
// [service=S]... [key=ACCOUNT:KEY]...".
func (s *script) config(words []string) *Config {
	config := &Config{Version: Version(s.number(words[1]))}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		parts := strings.Split(value, ":")
		switch name {
		case "queue":
			host, prefix, _ := strings.Cut(parts[4], "/")
			config.Queues = append(config.Queues, Queue{
				Name: QueueName(parts[0]), Host: host, Prefix: "/" + prefix, Timeout: anvilclock.Millis(s.number(parts[3])),
				Policy: QueuePolicy{Service: anvilid.ServiceName(parts[1]), Attempts: int(s.number(parts[2]))},
			})
		case "service":
			config.Services = append(config.Services, Service{Name: anvilid.ServiceName(value)})
		case "key":
			config.Accounts = append(config.Accounts, Account{Name: anvilid.AccountID(parts[0]), Keys: parts[1:]})
		}
	}
	return config
}

// zone returns the zone of a command, or no name if there is none.
func (s *script) zone(words []string) anvilid.ZoneName {
	return anvilid.ZoneName(strings.Join(words[1:], " "))
}

// target parses "target ID INCARNATION [at=ADDRESS] [zone=ZONE] [machine=MACHINE] [seq=NUMBER] [gpu=COUNT] [leaving]".
func (s *script) target(words []string) Target {
	o := options(words[3:])
	_, leaving := o["leaving"]
	target := Target{
		ID: anvilid.TargetID(words[1]), Incarnation: Incarnation(s.number(words[2])), Service: "s", Address: anvilid.Address(o["at"] + ":80"),
		Resources: Resources{CPU: 32000, Memory: 64000, GPU: 8}, Leaving: leaving,
		Machine: anvilid.MachineID(o["machine"]), Zone: anvilid.ZoneName(o["zone"]),
	}
	if number, ok := o["seq"]; ok {
		target.Sequence = s.number(number)
	}
	if count, ok := o["gpu"]; ok {
		target.Resources.GPU = anvilid.AcceleratorCount(s.number(count))
	}
	return target
}

// wave parses "limit=N MACHINE...".
func (s *script) wave(words []string) *Wave {
	wave := &Wave{MaxDown: int(s.number(strings.TrimPrefix(words[0], "limit=")))}
	for _, machine := range words[1:] {
		wave.Machines = append(wave.Machines, WaveMachine{Machine: anvilid.MachineID(machine)})
	}
	return wave
}

// submit parses "submit JOB STEP...", where a step is
// "count[,gang][,lasts][,miss=N][,after=N]".
func (s *script) submit(words []string) *Submit {
	submit := &Submit{Job: anvilid.JobID(words[1]), Queue: "q", Policy: QueuePolicy{Service: "s", Attempts: 2}}
	for _, word := range words[2:] {
		parts := strings.Split(word, ",")
		step := Step{Count: int(s.number(parts[0])), Need: Resources{GPU: 1}}
		for name, value := range options(parts[1:]) {
			switch name {
			case "gang":
				step.Gang = true
			case "lasts":
				step.LongRunning = true
			case "miss":
				step.MaxUnavailable = int(s.number(value))
			case "after":
				step.After = append(step.After, int(s.number(value)))
			}
		}
		submit.Spec.Steps = append(submit.Spec.Steps, step)
	}
	return submit
}

// run parses "JOB.OCCURRENCE.STEP.INDEX:RUN".
func (s *script) run(word string) (Task, Run) {
	name, number, _ := strings.Cut(word, ":")
	parts := strings.Split(name, ".")
	task := Task{
		Job: anvilid.JobID(parts[0]), Occurrence: int(s.number(parts[1])),
		Step: int(s.number(parts[2])), Index: int(s.number(parts[3])),
	}
	if number == "" {
		return task, 0
	}
	return task, Run(s.number(number))
}

// assignment parses "TASK:RUN@TARGET/INCARNATION".
func (s *script) assignment(word string) Assignment {
	run, where, _ := strings.Cut(word, "@")
	target, incarnation, _ := strings.Cut(where, "/")
	task, number := s.run(run)
	return Assignment{Task: task, Run: number, Target: anvilid.TargetID(target), Incarnation: Incarnation(s.number(incarnation))}
}

// runEnd parses "end TARGET INCARNATION NUMBER TASK:RUN OUTCOME [CHECKPOINT]".
func (s *script) runEnd(words []string) *RecordRunEnds {
	outcomes := map[string]Outcome{
		"done": RunDone, "failed": RunFailed, "stopped": RunStopped, "lapsed": RunLeaseExpired, "broken": RunGangEnded, "alone": RunGangIncomplete,
	}
	task, run := s.run(words[4])
	end := RunEnd{Number: s.number(words[3]), Task: task, Run: run, Outcome: outcomes[words[5]]}
	if len(words) > 6 {
		end.Checkpoint = words[6]
	}
	return &RecordRunEnds{Target: anvilid.TargetID(words[1]), Incarnation: Incarnation(s.number(words[2])), Ends: []RunEnd{end}}
}

// check parses and checks "task TASK PHASE [run=N] [failed=N] [crashes=N] [saved=CHECKPOINT]".
func (s *script) check(words []string) {
	task, _ := s.run(words[1])
	job, ok := s.state.Job(task.Job)
	assert.Assert(s.t, ok, s.where)
	state := job.State(task)
	assert.Equal(s.t, [...]string{"waiting", "assigned", "done"}[state.Phase], words[2], s.where)
	for name, value := range options(words[3:]) {
		switch name {
		case "run":
			assert.Equal(s.t, uint64(state.Run), s.number(value), s.where)
		case "failed":
			assert.Equal(s.t, uint64(state.Failed), s.number(value), s.where)
		case "crashes":
			assert.Equal(s.t, uint64(state.Crashes), s.number(value), s.where)
		case "saved":
			assert.Equal(s.t, state.Checkpoint, value, s.where)
		}
	}
}

// Package anvilsettings reads the settings file of an instance: JSON with
// comments. Every problem is reported with its file and line, and unknown
// names are errors.
package anvilsettings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// ErrInvalid is wrapped by every error about the content of a settings file.
var ErrInvalid = errors.New("invalid settings")

// Peer is an instance that this instance contacts before it has learnt the
// others from the control group.
type Peer struct {
	Instance anvilid.InstanceID `json:"instance"`
	Address  anvilid.Address    `json:"address"`
	Region   anvilid.RegionName `json:"region"`
	// Voter marks the instances that hold the replicated log when the system
	// is first started.
	Voter bool `json:"voter"`
}

// Limits bound what one instance accepts and holds.
type Limits struct {
	Body     anvilid.ByteCount `json:"body"`
	Header   anvilid.ByteCount `json:"header"`
	Answer   anvilid.ByteCount `json:"answer"`
	Requests int               `json:"requests"`
	Queue    int               `json:"queue"`
	IDs      int               `json:"ids"`
	// Cache bounds the bytes of held answers.
	Cache anvilid.ByteCount `json:"cache"`
}

// Timing holds the periods of the control protocol.
type Timing struct {
	Lease       anvilclock.Millis `json:"lease"`
	RenewalHold anvilclock.Millis `json:"hold"`
	Heartbeat   anvilclock.Millis `json:"beat"`
	Election    anvilclock.Millis `json:"election"`
	Drain       anvilclock.Millis `json:"drain"`
}

// Settings is the content of a settings file.
type Settings struct {
	Instance anvilid.InstanceID `json:"instance"`
	Region   anvilid.RegionName `json:"region"`
	Zone     anvilid.ZoneName   `json:"zone"`
	// Public is the address for callers, targets and operators.
	Public anvilid.Address `json:"public"`
	// Peer is the address for other instances.
	Peer  anvilid.Address `json:"peer"`
	Peers []Peer          `json:"peers"`
	// DataDir is the data directory. Without one the instance holds no vote.
	DataDir  string `json:"data"`
	LogLevel string `json:"log"`
	Limits   Limits `json:"limits"`
	Timing   Timing `json:"timing"`
}

// Defaults returns the settings that a file starts from.
func Defaults() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			Body: 1 << 20, Header: 16 << 10, Answer: 8 << 20,
			Requests: 4096, Queue: 4096, IDs: 200_000, Cache: 64 << 20,
		},
		Timing: Timing{
			Lease: 900, RenewalHold: 300, Heartbeat: 75, Election: 300, Drain: 30 * anvilclock.Second,
		},
	}
}

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int
	Text string
}

// String formats the problem like a compiler message.
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text) }

// Error holds all problems of a file.
type Error struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the error match ErrInvalid.
func (e *Error) Unwrap() error { return ErrInvalid }

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse checks settings that were read from file.
func Parse(file string, data []byte) (Settings, error) {
	settings := Defaults()
	doc, problems := decode(file, data, &settings)
	if len(problems) == 0 {
		problems = doc.check(settings)
	}
	if len(problems) > 0 {
		return Settings{}, &Error{Problems: problems}
	}
	return settings, nil
}

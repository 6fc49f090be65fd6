// Package anvilsettings reads and checks the settings file of an instance, which is JSON with
// comments. It reports every problem with its file and line, and treats unknown field names as
// errors.
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

// Peer is another instance that this instance contacts after its start, until it has received the
// list of all instances from the control group (the voters, which replicate the state).
type Peer struct {
	Instance anvilid.InstanceID `json:"instance"`
	Address  anvilid.Address    `json:"address"`
	Region   anvilid.RegionName `json:"region"`
	// Voter is set for the initial voters: the instances that store the replicated log when the
	// system is started for the first time.
	Voter bool `json:"voter"`
}

// Limits bounds what one instance accepts and stores.
type Limits struct {
	// Body and Header are the maximum sizes of the body and the headers of a request.
	Body   anvilid.ByteCount `json:"body"`
	Header anvilid.ByteCount `json:"header"`
	// Answer is the maximum size of an answer of a target.
	Answer anvilid.ByteCount `json:"answer"`
	// Requests is the maximum number of requests handled at a time.
	Requests int `json:"requests"`
	// Queue is the maximum number of queued requests for each pair of account and service.
	Queue int `json:"queue"`
	// IDs is the maximum number of request ids in each table that detects repeated requests.
	IDs int `json:"ids"`
	// Cache is the maximum total size of the answers that are stored for repeated requests.
	Cache anvilid.ByteCount `json:"cache"`
	// Connections is the maximum number of connections that others may have open to the instance. A lower limit of
	// open files lowers it.
	Connections int `json:"connections"`
	// Buffers is the maximum total size of the bodies that the instance holds for its clients. 0 means an eighth of
	// Go's memory limit (GOMEMLIMIT), or 64 MiB without one.
	Buffers anvilid.ByteCount `json:"buffers"`
}

// Timing contains the durations of leases and elections, and of a graceful shutdown.
type Timing struct {
	// Lease is the validity of an instance lease.
	Lease anvilclock.Millis `json:"lease"`
	// RenewalHold is the time after which the leader answers the renewal of an instance lease even
	// if it has no changes of the state to send. Renewals are long polls.
	RenewalHold anvilclock.Millis `json:"hold"`
	// Heartbeat is the interval between heartbeats of the leader to the other voters.
	Heartbeat anvilclock.Millis `json:"beat"`
	// Election is the minimum election timeout of a voter. The maximum is 2 * Election.
	Election anvilclock.Millis `json:"election"`
	// Drain is the time after which a draining instance stops even if requests are still running.
	Drain anvilclock.Millis `json:"drain"`
}

// Settings is the content of a settings file.
type Settings struct {
	// Instance is the name of the instance. Region and Zone are its location.
	Instance anvilid.InstanceID `json:"instance"`
	Region   anvilid.RegionName `json:"region"`
	Zone     anvilid.ZoneName   `json:"zone"`
	// Public is the address on which callers, targets and operators reach the instance.
	Public anvilid.Address `json:"public"`
	// Peer is the address on which other instances reach the instance.
	Peer anvilid.Address `json:"peer"`
	// Peers lists the instances to contact after the start. It includes the initial voters.
	Peers []Peer `json:"peers"`
	// DataDir is the data directory. An instance without one is never a voter.
	DataDir  string `json:"data"`
	LogLevel string `json:"log"`
	Limits   Limits `json:"limits"`
	Timing   Timing `json:"timing"`
}

// Defaults returns the values of the settings that a file does not set.
func Defaults() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			Body: 1 << 20, Header: 16 << 10, Answer: 8 << 20,
			Requests: 4096, Queue: 4096, IDs: 200_000, Cache: 64 << 20, Connections: 4096,
		},
		Timing: Timing{
			Lease: 900, RenewalHold: 300, Heartbeat: 75, Election: 300, Drain: 30 * anvilclock.Second,
		},
	}
}

// Problem is one problem in a settings file.
type Problem struct {
	File string
	Line int
	Text string
}

// String formats the problem like a compiler message: file, line and text.
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text) }

// Error contains all problems that were found in a settings file.
type Error struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid, so that errors.Is matches it.
func (e *Error) Unwrap() error { return ErrInvalid }

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file. The file name is used in problems only.
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

// Package anvilload generates load against instances or targets. It checks that each answer carries
// the id and the content that belong to its request.
package anvilload

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// ErrSettings reports invalid settings.
var ErrSettings = eris.New("invalid load settings")

const (
	// maxDuration and maxCount limit the duration and the number of requests of a load.
	maxDuration = anvilclock.Hour
	maxCount    = 10_000_000
	// defaultInFlight is the default limit on the number of requests in flight of an open loop.
	// Requests that are due while this many are in flight are not sent, but counted as skipped.
	defaultInFlight = 8192
)

// Share is a client account and its weight. The account sends Weight / (sum of all weights) of the
// requests.
type Share struct {
	Account anvilid.AccountID
	Weight  int
}

// Swing alternates base periods with the configured load and peak periods with Factor times that
// load. Each lasts for Period.
type Swing struct {
	Factor float64
	Period anvilclock.Millis
}

// Settings describe a load. Set either Rate, for an open loop, which sends requests at this rate
// however long the answers take, or Concurrency, for a closed loop, which keeps this number of requests
// in flight.
type Settings struct {
	// Addresses are the addresses of instances, or of targets if Direct is set. The requests are
	// sent to them in turn, as a load balancer does.
	Addresses []anvilid.Address
	// Direct sends the requests to /v1/run of targets instead of to instances.
	Direct  bool
	Service anvilid.ServiceName
	Shares  []Share

	Rate        float64 // requests per second
	Poisson     bool    // Poisson arrivals instead of even intervals
	Concurrency int
	MaxInFlight int
	Swing       Swing

	Duration anvilclock.Millis
	MaxCount int

	SendIDs     bool
	IDPrefix    string
	Repeatable  string // "yes", "no", or "" for the configured default of the service
	Timeout     anvilclock.Millis
	ServiceTime anvilclock.Millis // requested service time; negative: default of the stand-in target
	BodyBytes   int               // size of the request body
	AnswerBytes int               // requested size of the answer; negative: the target echoes the body
	MaxResends  int               // limit of resends of a request with an unknown outcome
	Seed        uint64
}

// Check sets the defaults and validates the settings. Its error wraps ErrSettings and says what to
// change.
func (s *Settings) Check() error {
	if len(s.Shares) == 0 {
		s.Shares = []Share{{"load", 1}}
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultInFlight
	}
	if s.Timeout == 0 {
		s.Timeout = 10 * anvilclock.Second
	}
	if s.MaxCount == 0 {
		s.MaxCount = maxCount
	}
	if s.Duration == 0 {
		s.Duration = 10 * anvilclock.Second
	}
	if s.IDPrefix == "" {
		s.IDPrefix = "load"
	}
	switch {
	case len(s.Addresses) == 0:
		return eris.Wrap(ErrSettings, "no address; set at least one with --to")
	case !s.Direct && s.Service == "":
		return eris.Wrap(ErrSettings, "no service; set one with --service, or use --direct to call targets")
	case (s.Rate > 0) == (s.Concurrency > 0):
		return eris.Wrap(ErrSettings, "set either --rate for an open loop or --concurrency for a closed loop")
	case s.Duration < 0 || s.Duration > maxDuration:
		return eris.Wrapf(ErrSettings, "duration %v is outside 0 to %v", s.Duration.Duration(), maxDuration.Duration())
	case s.MaxCount < 0 || s.MaxCount > maxCount:
		return eris.Wrapf(ErrSettings, "count %d is outside 0 to %d", s.MaxCount, maxCount)
	case s.MaxResends > 0 && !s.SendIDs:
		return eris.Wrap(ErrSettings, "--resend needs request ids; add --ids")
	case s.Repeatable != "" && s.Repeatable != "yes" && s.Repeatable != "no":
		return eris.Wrapf(ErrSettings, "--repeatable is %q; set yes or no", s.Repeatable)
	case s.Swing.Factor < 0 || (s.Swing.Factor > 0 && s.Swing.Period <= 0):
		return eris.Wrap(ErrSettings, "the swing needs a positive factor and period, such as 10x/2s")
	}
	for _, share := range s.Shares {
		if share.Weight <= 0 {
			return eris.Wrapf(ErrSettings, "account %q has weight %d; set at least 1", share.Account, share.Weight)
		}
	}
	return nil
}

// ParseSwing parses a swing of the form FACTORx/PERIOD, such as 10x/2s.
func ParseSwing(text string) (Swing, error) {
	if text == "" {
		return Swing{}, nil
	}
	factor, period, found := strings.Cut(text, "/")
	f, errFactor := strconv.ParseFloat(strings.TrimSuffix(factor, "x"), 64)
	p, errPeriod := time.ParseDuration(period)
	if !found || errFactor != nil || errPeriod != nil || f <= 0 || p < time.Millisecond {
		return Swing{}, eris.Wrapf(ErrSettings, "swing %q does not have the form FACTORx/PERIOD, such as 10x/2s", text)
	}
	return Swing{f, anvilclock.FromDuration(p)}, nil
}

// ParseShares parses a list of the form ACCOUNT=WEIGHT,..., such as agency=3,club=1. The weight of
// an account without one is 1.
func ParseShares(text string) ([]Share, error) {
	var shares []Share
	for part := range strings.SplitSeq(text, ",") {
		name, weightText, found := strings.Cut(part, "=")
		weight := 1
		if found {
			var err error
			if weight, err = strconv.Atoi(weightText); err != nil {
				return nil, eris.Wrapf(ErrSettings, "account mix %q does not have the form ACCOUNT=WEIGHT,...", text)
			}
		}
		if name != "" {
			shares = append(shares, Share{anvilid.AccountID(name), weight})
		}
	}
	return shares, nil
}

// Option changes how Run generates a load.
type Option func(*generator)

// WithClient replaces the default HTTP client.
func WithClient(client *http.Client) Option { return func(g *generator) { g.client = client } }

// WithObserver calls observe with the final result of each request, concurrently from several
// goroutines.
func WithObserver(observe func(Result)) Option { return func(g *generator) { g.observe = observe } }

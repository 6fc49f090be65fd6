// Package anvilload generates load against instances or targets and checks
// every answer for its own id and content.
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

// ErrSettings reports settings that can't be used.
var ErrSettings = eris.New("unusable load settings")

const (
	// maxDuration and maxCount bound every load.
	maxDuration = anvilclock.Hour
	maxCount    = 10_000_000
	// defaultInFlight bounds the requests that an open loop has in flight.
	// Arrivals beyond it are counted as skipped.
	defaultInFlight = 8192
)

// Share is an account and its part of the requests.
type Share struct {
	Account anvilid.AccountID
	Weight  int
}

// Swing multiplies the load by Factor in every second period.
type Swing struct {
	Factor float64
	Period anvilclock.Millis
}

// Settings describe a load. An open loop has a Rate, a closed loop has a
// Concurrency.
type Settings struct {
	// Addresses are used in turn, like a load balancer would.
	Addresses []anvilid.Address
	// Direct sends to /v1/run of targets instead of instances.
	Direct  bool
	Service anvilid.ServiceName
	Shares  []Share

	Rate        float64 // requests per second
	Poisson     bool    // random instead of even arrivals
	Concurrency int
	MaxInFlight int
	Swing       Swing

	Duration anvilclock.Millis
	MaxCount int

	SendIDs     bool
	IDPrefix    string
	Repeatable  string // "yes", "no" or "" for the default of the service
	Timeout     anvilclock.Millis
	ServiceTime anvilclock.Millis // service time; negative: default of the target
	BodyBytes   int               // size of the request body
	AnswerBytes int               // size of the answer; negative: the body is echoed
	MaxResends  int               // attempts to resolve an unknown outcome
	Seed        uint64
}

// Check sets defaults and returns an error that wraps ErrSettings and says
// what to change.
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
		return eris.Wrap(ErrSettings, "no address; name at least one with --to")
	case !s.Direct && s.Service == "":
		return eris.Wrap(ErrSettings, "no service; name one with --service, or use --direct for targets")
	case (s.Rate > 0) == (s.Concurrency > 0):
		return eris.Wrap(ErrSettings, "set either --rate for an open loop or --concurrency for a closed loop")
	case s.Duration < 0 || s.Duration > maxDuration:
		return eris.Wrapf(ErrSettings, "duration %v is outside 0 to %v", s.Duration.Duration(), maxDuration.Duration())
	case s.MaxCount < 0 || s.MaxCount > maxCount:
		return eris.Wrapf(ErrSettings, "count %d is outside 0 to %d", s.MaxCount, maxCount)
	case s.MaxResends > 0 && !s.SendIDs:
		return eris.Wrap(ErrSettings, "--resend needs request ids; add --ids")
	case s.Repeatable != "" && s.Repeatable != "yes" && s.Repeatable != "no":
		return eris.Wrapf(ErrSettings, "--repeatable is %q, want yes or no", s.Repeatable)
	case s.Swing.Factor < 0 || (s.Swing.Factor > 0 && s.Swing.Period <= 0):
		return eris.Wrap(ErrSettings, "a swing needs a positive factor and period, such as 10x/2s")
	}
	for _, share := range s.Shares {
		if share.Weight <= 0 {
			return eris.Wrapf(ErrSettings, "account %q has weight %d, want at least 1", share.Account, share.Weight)
		}
	}
	return nil
}

// ParseSwing reads FACTORx/PERIOD, such as 10x/2s.
func ParseSwing(text string) (Swing, error) {
	if text == "" {
		return Swing{}, nil
	}
	factor, period, found := strings.Cut(text, "/")
	f, errFactor := strconv.ParseFloat(strings.TrimSuffix(factor, "x"), 64)
	p, errPeriod := time.ParseDuration(period)
	if !found || errFactor != nil || errPeriod != nil || f <= 0 || p < time.Millisecond {
		return Swing{}, eris.Wrapf(ErrSettings, "swing %q isn't FACTORx/PERIOD, such as 10x/2s", text)
	}
	return Swing{f, anvilclock.FromDuration(p)}, nil
}

// ParseShares reads ACCOUNT=WEIGHT,..., such as agency=3,club=1.
func ParseShares(text string) ([]Share, error) {
	var shares []Share
	for part := range strings.SplitSeq(text, ",") {
		name, weightText, found := strings.Cut(part, "=")
		weight := 1
		if found {
			var err error
			if weight, err = strconv.Atoi(weightText); err != nil {
				return nil, eris.Wrapf(ErrSettings, "account mix %q isn't ACCOUNT=WEIGHT,...", text)
			}
		}
		if name != "" {
			shares = append(shares, Share{anvilid.AccountID(name), weight})
		}
	}
	return shares, nil
}

// Option changes how a load is generated.
type Option func(*generator)

// WithClient replaces the HTTP client.
func WithClient(client *http.Client) Option { return func(g *generator) { g.client = client } }

// WithObserver calls observe with every final result. It is called from
// several goroutines.
func WithObserver(observe func(Result)) Option { return func(g *generator) { g.observe = observe } }

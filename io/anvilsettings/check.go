package anvilsettings

import (
	"net/netip"
	"regexp"
	"strconv"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

var logLevels = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}

// check reports values that can't work together or at all.
func (d *document) check(s Settings) []Problem {
	d.name("instance", string(s.Instance))
	d.name("region", string(s.Region))
	d.name("zone", string(s.Zone))
	d.address("public", s.Public)
	d.address("peer", s.Peer)
	if s.Public == s.Peer && s.Public != "" {
		d.report("peer", "peer: expected an address other than public, %s", s.Public)
	}
	if !logLevels[s.LogLevel] {
		d.report("log", "log: expected debug, info, warn or error, found %q", s.LogLevel)
	}
	d.peers(s)
	d.limits(s.Limits)
	d.timing(s.Timing)
	return d.problems
}

func (d *document) name(path, value string) {
	if value == "" {
		d.report(path, "%s: missing; expected a name such as \"palermo-1\"", path)
	} else if !namePattern.MatchString(value) {
		d.report(path, "%s: expected 1 to 64 of a-z 0-9 . _ -, found %q", path, value)
	}
}

func (d *document) address(path string, value anvilid.Address) {
	if _, err := netip.ParseAddrPort(string(value)); err != nil {
		d.report(path, "%s: expected an IP address and port such as \"10.0.0.1:8080\", found %q", path, value)
	}
}

func (d *document) peers(s Settings) {
	voters := 0
	seen := map[anvilid.InstanceID]bool{}
	for i, peer := range s.Peers {
		path := join("peers", strconv.Itoa(i))
		d.name(join(path, "instance"), string(peer.Instance))
		d.name(join(path, "region"), string(peer.Region))
		d.address(join(path, "address"), peer.Address)
		if seen[peer.Instance] {
			d.report(path, "peers: instance %q stands twice", peer.Instance)
		}
		seen[peer.Instance] = true
		if peer.Voter {
			voters++
		}
		if peer.Instance == s.Instance && peer.Address != s.Peer {
			d.report(path, "peers: this instance has the address %s here and %s in peer", peer.Address, s.Peer)
		}
		if peer.Instance == s.Instance && peer.Voter && s.DataDir == "" {
			d.report("data", "data: missing; a voter needs a data directory")
		}
	}
	if voters == 0 {
		d.report("peers", "peers: expected at least one with \"voter\": true")
	}
}

func (d *document) limits(l Limits) {
	d.within("limits.body", int64(l.Body), 1, 64<<20)
	d.within("limits.header", int64(l.Header), 1<<10, 1<<20)
	d.within("limits.answer", int64(l.Answer), 1, 256<<20)
	d.within("limits.requests", int64(l.Requests), 1, 1<<20)
	d.within("limits.queue", int64(l.Queue), 1, 1<<20)
	d.within("limits.ids", int64(l.IDs), 1, 10_000_000)
	d.within("limits.cache", int64(l.Cache), 0, 1<<33)
}

func (d *document) timing(t Timing) {
	d.within("timing.lease", int64(t.Lease), 100, int64(5*anvilclock.Second))
	d.within("timing.hold", int64(t.RenewalHold), 10, int64(t.Lease/2))
	d.within("timing.beat", int64(t.Heartbeat), 10, int64(t.Election/3))
	d.within("timing.election", int64(t.Election), 100, int64(5*anvilclock.Second))
	d.within("timing.drain", int64(t.Drain), 0, int64(anvilclock.Hour))
}

func (d *document) within(path string, value, low, high int64) {
	if value < low || value > high {
		d.report(path, "%s: expected %d to %d, found %d", path, low, high, value)
	}
}

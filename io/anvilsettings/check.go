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

// MaxChange is the maximum size of a change set, the largest body of a request of an operator.
const MaxChange anvilid.ByteCount = 4 << 20

// check reports values that are missing, out of range, or inconsistent with other values.
func (d *document) check(s Settings) []Problem {
	d.checkName("instance", string(s.Instance))
	d.checkName("region", string(s.Region))
	d.checkName("zone", string(s.Zone))
	d.checkAddress("public", s.Public)
	d.checkAddress("peer", s.Peer)
	if s.Public == s.Peer && s.Public != "" {
		d.addProblem("peer", "peer: expected an address other than public, %s", s.Public)
	}
	if !logLevels[s.LogLevel] {
		d.addProblem("log", "log: expected debug, info, warn or error, found %q", s.LogLevel)
	}
	d.checkPeers(s)
	d.checkLimits(s.Limits)
	d.checkTiming(s.Timing)
	return d.problems
}

func (d *document) checkName(path, value string) {
	if value == "" {
		d.addProblem(path, "%s: missing; expected a name such as \"palermo-1\"", path)
	} else if !namePattern.MatchString(value) {
		d.addProblem(path, "%s: expected 1 to 64 characters of a-z 0-9 . _ -, found %q", path, value)
	}
}

func (d *document) checkAddress(path string, value anvilid.Address) {
	if _, err := netip.ParseAddrPort(string(value)); err != nil {
		d.addProblem(path, "%s: expected an IP address and port such as \"10.0.0.1:8080\", found %q", path, value)
	}
}

func (d *document) checkPeers(s Settings) {
	voters := 0
	seen := map[anvilid.InstanceID]bool{}
	for i, peer := range s.Peers {
		path := joinPath("peers", strconv.Itoa(i))
		d.checkName(joinPath(path, "instance"), string(peer.Instance))
		d.checkName(joinPath(path, "region"), string(peer.Region))
		d.checkAddress(joinPath(path, "address"), peer.Address)
		if seen[peer.Instance] {
			d.addProblem(path, "peers: instance %q is listed twice", peer.Instance)
		}
		seen[peer.Instance] = true
		if peer.Voter {
			voters++
		}
		if peer.Instance == s.Instance && peer.Address != s.Peer {
			d.addProblem(path, "peers: this instance is listed with the address %s, but its peer address is %s", peer.Address, s.Peer)
		}
		if peer.Instance == s.Instance && peer.Voter && s.DataDir == "" {
			d.addProblem("data", "data: missing; a voter needs a data directory")
		}
	}
	if voters == 0 {
		d.addProblem("peers", "peers: expected at least one instance with \"voter\": true")
	}
}

func (d *document) checkLimits(l Limits) {
	d.checkRange("limits.body", int64(l.Body), 1, 64<<20)
	d.checkRange("limits.header", int64(l.Header), 1<<10, 1<<20)
	d.checkRange("limits.answer", int64(l.Answer), 1, 256<<20)
	d.checkRange("limits.requests", int64(l.Requests), 1, 1<<20)
	d.checkRange("limits.queue", int64(l.Queue), 1, 1<<20)
	d.checkRange("limits.ids", int64(l.IDs), 1, 10_000_000)
	d.checkRange("limits.cache", int64(l.Cache), 0, 1<<33)
	d.checkRange("limits.connections", int64(l.Connections), 16, 1<<20)
	if l.Buffers != 0 {
		d.checkRange("limits.buffers", int64(l.Buffers), int64(max(l.Body, MaxChange)), 1<<36)
	}
}

func (d *document) checkTiming(t Timing) {
	d.checkRange("timing.lease", int64(t.Lease), 100, int64(5*anvilclock.Second))
	d.checkRange("timing.hold", int64(t.RenewalHold), 10, int64(t.Lease/2))
	d.checkRange("timing.beat", int64(t.Heartbeat), 10, int64(t.Election/3))
	d.checkRange("timing.election", int64(t.Election), 100, int64(5*anvilclock.Second))
	d.checkRange("timing.drain", int64(t.Drain), 0, int64(anvilclock.Hour))
}

func (d *document) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		d.addProblem(path, "%s: expected %d to %d, found %d", path, low, high, value)
	}
}

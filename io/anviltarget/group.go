package anviltarget

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"anvilshunt/core/anvilid"
)

// targetsPerRack is the number of targets in a rack.
const targetsPerRack = 8

// Location is an availability zone and its region.
type Location struct {
	Region anvilid.RegionName
	Zone   anvilid.ZoneName
}

// Group consists of several stand-in targets in one process.
type Group struct {
	Targets []*Target
}

// StartGroup starts count targets on consecutive ports, starting with that
// of settings.Listen. Eight consecutive targets form a rack, and the racks
// are assigned to the locations in turn. The id in settings is the prefix of
// the targets' ids.
func StartGroup(settings Settings, count int, locations []Location, options ...Option) (*Group, error) {
	host, portText, err := net.SplitHostPort(string(settings.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen address %q is not of the form HOST:PORT", settings.Listen)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, eris.Wrapf(err, "port of the listen address %q is not a number", settings.Listen)
	}
	options = append([]Option{WithClient(NewClient())}, options...)
	g := &Group{}
	for i := range count {
		s := settings
		rack := i / targetsPerRack
		s.Target = anvilid.TargetID(fmt.Sprintf("%s%d", settings.Target, i+1))
		s.Rack = anvilid.RackName(fmt.Sprintf("%sr%d", settings.Target, rack+1))
		if len(locations) > 0 {
			location := locations[rack%len(locations)]
			s.Region, s.Zone = location.Region, location.Zone
		}
		if port != 0 {
			s.Listen = anvilid.Address(net.JoinHostPort(host, strconv.Itoa(port+i)))
		}
		t, err := Start(s, options...)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.Targets = append(g.Targets, t)
	}
	return g, nil
}

// Leave makes all targets leave at the same time, and waits until they have left.
func (g *Group) Leave(ctx context.Context) error {
	errs := make([]error, len(g.Targets))
	var wait sync.WaitGroup
	for i, t := range g.Targets {
		wait.Go(func() { errs[i] = t.Leave(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Close stops all targets at once.
func (g *Group) Close() {
	for _, t := range g.Targets {
		t.Close()
	}
}

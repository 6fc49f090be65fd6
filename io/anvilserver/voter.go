package anvilserver

import (
	"context"
	"net/http"
	"sync"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcontrol"
	"anvilshunt/io/anvilgang"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvilrpc"
)

// voter is the part of an instance that holds the replicated log.
type voter struct {
	replica *anvilcontrol.Replica
	service *anvilcontrol.Service
	mu      sync.Mutex
	index   anvilid.Index
	leading bool
	driver  *anvilgang.Driver
}

func openVoter(s *Server) (*voter, error) {
	v := &voter{replica: anvilcontrol.NewReplica(s.clock, s.log, s.settings.Timing.Lease)}
	v.leading = s.settings.Peers[0].Instance == s.settings.Instance
	v.service = anvilcontrol.NewService(v.replica, anvilcontrol.Group{
		Propose: func(_ context.Context, data []byte) (anvilstate.Result, error) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.index++
			return v.replica.Apply(v.index, s.wall.Now(), data), nil
		},
		Status: func() anvilcontrol.Status {
			return anvilcontrol.Status{Leading: v.leading, HasQuorum: v.leading, Term: 1, Leader: s.settings.Peers[0].Instance}
		},
		Barrier: func(context.Context) error { return nil },
		Address: func(anvilid.InstanceID) anvilid.Address { return s.settings.Peers[0].Address },
	}, s.settings.Timing.Hold)
	v.driver = s.newDriver(v)
	return v, nil
}

func (v *voter) duties() []duty {
	return []duty{{"control", v.service.Run}, {"gangs", v.driver.Run}}
}

func (v *voter) register(mux *http.ServeMux) {
	control := anvilrpc.NewControlServer(v.service)
	mux.Handle(control.PathPrefix(), control)
}

func (v *voter) status() *anvilhttp.Voter { return &anvilhttp.Voter{Leading: v.leading} }

func (v *voter) close() {}

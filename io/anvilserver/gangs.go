package anvilserver

import (
	"context"
	"errors"

	"anvilshunt/core/anvilreport"
	"anvilshunt/io/anvilrpc"
)

// gangs drives the members of gangs on owned targets.
type gangs struct{ server *Server }

func newGangs(s *Server) *gangs { return &gangs{server: s} }

func (g *gangs) observe(*anvilreport.Report) {}

func (g *gangs) run(context.Context) error { return nil }

func (g *gangs) member(context.Context, *anvilrpc.MemberRequest) error {
	return errors.New("gangs can't be run yet")
}

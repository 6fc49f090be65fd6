package anvilserver

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/io/anvildispatch"
	"anvilshunt/io/anvilrpc"
)

// peerService is the Peer service, which other instances call.
type peerService struct {
	server *Server
}

// Run runs a short request that a peer forwarded. The reply also contains the number of slots of the
// service that are free at this instance afterwards.
func (p peerService) Run(_ context.Context, call *anvilrpc.RunRequest) (*anvilrpc.RunReply, error) {
	s := p.server
	request := &anvilrequest.Request{
		Key: anvilrequest.Key{
			Account: anvilid.AccountID(call.Account), Service: anvilid.ServiceName(call.Service),
			ID: anvilid.RequestID(call.Id),
		},
		Repeatable: call.Repeatable, Deadline: s.clock.Now() + anvilclock.Millis(call.Remaining),
		ContentType: call.ContentType, Body: call.Body,
	}
	for _, field := range call.Metadata {
		request.Metadata = append(request.Metadata, anvilrequest.HeaderField{Name: field.Name, Value: field.Value})
	}
	reply := anvildispatch.ReplyFromAnswer(s.dispatcher.RunForPeer(request, anvilid.Token(call.Token)))
	if !s.draining() {
		reply.Free = int32(s.fleet.Free(request.Service))
	}
	return reply, nil
}

// Record records which instance runs a repeatable request (the holder of its id). Peers call it because
// this instance is the coordinator of the id.
func (p peerService) Record(_ context.Context, call *anvilrpc.RecordRequest) (*anvilrpc.RecordReply, error) {
	return p.server.dispatcher.Record(call), nil
}

// Fetch returns the answer to a request that this instance runs or ran.
func (p peerService) Fetch(ctx context.Context, call *anvilrpc.FetchRequest) (*anvilrpc.FetchReply, error) {
	key := anvildedup.Key{
		Account: anvilid.AccountID(call.Account), Service: anvilid.ServiceName(call.Service),
		ID: anvilid.RequestID(call.Id),
	}
	answer, found := p.server.dispatcher.Fetch(ctx, key, anvilclock.Millis(call.Remaining))
	if !found {
		return &anvilrpc.FetchReply{}, nil
	}
	return &anvilrpc.FetchReply{Found: true, Answer: anvildispatch.ReplyFromAnswer(answer)}, nil
}

// Report processes the report of a target that this instance owns. Peers that receive such a report
// forward it with this call.
func (p peerService) Report(_ context.Context, call *anvilrpc.ReportRequest) (*anvilrpc.ReportReply, error) {
	report := &anvilreport.Report{}
	if err := json.Unmarshal(call.Report, report); err != nil {
		return nil, twirp.InvalidArgumentError("report", err.Error())
	}
	if err := p.server.handleReport(report); err != nil {
		return &anvilrpc.ReportReply{Detail: err.Error()}, nil
	}
	return &anvilrpc.ReportReply{Accepted: true}, nil
}

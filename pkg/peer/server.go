package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1/peerv1connect"
)

// ForwardPrefix starts the path of a request that another instance forwards.
const ForwardPrefix = "/forward"

// Responder answers the calls of other instances.
type Responder interface {
	Confirm(candidacy redwingstall.Candidacy) redwingstall.Vote
	Learn(records []redwingstall.Record, complete bool) (voter string, known map[string]redwingstall.Revision)
	Fetch() []redwingstall.Record
	HandOver(offer redwingstall.HandOver) bool
	Report(from string, servers []redwingstall.ServerReport)
}

// NewHandler serves the calls of other instances.
func NewHandler(responder Responder, maxBytes int) (path string, handler http.Handler) {
	return peerv1connect.NewPeerServiceHandler(&server{responder}, connect.WithReadMaxBytes(maxBytes))
}

// server turns wire messages into the responder's types.
type server struct {
	responder Responder
}

func (s *server) Confirm(_ context.Context, request *connect.Request[peerv1.ConfirmRequest]) (*connect.Response[peerv1.ConfirmResponse], error) {
	vote := s.responder.Confirm(redwingstall.Candidacy{
		Candidate:          request.Msg.GetCandidate(),
		MemberRevision:     redwingstall.Revision(request.Msg.GetMemberRevision()),
		HasReachedMajority: request.Msg.GetReached(),
		AppliedConfig:      redwingstall.Revision(request.Msg.GetAppliedConfig()),
	})
	return connect.NewResponse(voteToWire(vote)), nil
}

func (s *server) Learn(_ context.Context, request *connect.Request[peerv1.LearnRequest]) (*connect.Response[peerv1.LearnResponse], error) {
	voter, known := s.responder.Learn(recordsFromWire(request.Msg.GetRecords()), request.Msg.GetComplete())
	return connect.NewResponse(&peerv1.LearnResponse{Voter: voter, Revisions: revisionsToWire(known)}), nil
}

func (s *server) Fetch(_ context.Context, _ *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	return connect.NewResponse(&peerv1.FetchResponse{Records: recordsToWire(s.responder.Fetch())}), nil
}

func (s *server) HandOver(_ context.Context, request *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	accepted := s.responder.HandOver(redwingstall.HandOver{
		From:           request.Msg.GetFrom(),
		MemberRevision: redwingstall.Revision(request.Msg.GetMemberRevision()),
		Pools:          request.Msg.GetPools(),
		Limits:         limitsFromWire(request.Msg.GetLimits()),
	})
	return connect.NewResponse(&peerv1.HandOverResponse{Accepted: accepted}), nil
}

func (s *server) Report(_ context.Context, request *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	s.responder.Report(request.Msg.GetFrom(), reportsFromWire(request.Msg.GetServers()))
	return connect.NewResponse(&peerv1.ReportResponse{}), nil
}

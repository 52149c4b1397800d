package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1/peerv1connect"
)

// Client is a [redwingstall.Peer] over connect.
type Client struct {
	service peerv1connect.PeerServiceClient
}

var _ redwingstall.Peer = (*Client)(nil)

// turn gives an error of the layer below this package's meaning.
func turn(call string, err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrapf(err, "peer %s", call), redwingstall.ErrUnavailable)
}

// Confirm asks for a vote.
func (c *Client) Confirm(ctx context.Context, candidacy redwingstall.Candidacy) (redwingstall.Vote, error) {
	response, err := c.service.Confirm(ctx, connect.NewRequest(&peerv1.ConfirmRequest{
		Candidate:      candidacy.Candidate,
		MemberRevision: int64(candidacy.MemberRevision),
		Reached:        candidacy.HasReachedMajority,
		AppliedConfig:  int64(candidacy.AppliedConfig),
	}))
	if err != nil {
		return redwingstall.Vote{}, turn("confirm", err)
	}
	return voteFromWire(response.Msg), nil
}

// Learn hands over records.
func (c *Client) Learn(ctx context.Context, records []redwingstall.Record, complete bool) (string, map[string]redwingstall.Revision, error) {
	request := &peerv1.LearnRequest{Records: recordsToWire(records), Complete: complete}
	response, err := c.service.Learn(ctx, connect.NewRequest(request))
	if err != nil {
		return "", nil, turn("learn", err)
	}
	return response.Msg.GetVoter(), revisionsFromWire(response.Msg.GetRevisions()), nil
}

// Fetch returns every record that the peer knows.
func (c *Client) Fetch(ctx context.Context) ([]redwingstall.Record, error) {
	response, err := c.service.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
	if err != nil {
		return nil, turn("fetch", err)
	}
	return recordsFromWire(response.Msg.GetRecords()), nil
}

// HandOver offers pools.
func (c *Client) HandOver(ctx context.Context, offer redwingstall.HandOver) (bool, error) {
	response, err := c.service.HandOver(ctx, connect.NewRequest(&peerv1.HandOverRequest{
		From:           offer.From,
		MemberRevision: int64(offer.MemberRevision),
		Pools:          offer.Pools,
		Limits:         limitsToWire(offer.Limits),
	}))
	if err != nil {
		return false, turn("handOver", err)
	}
	return response.Msg.GetAccepted(), nil
}

// Report tells what this instance sees of its servers.
func (c *Client) Report(ctx context.Context, from string, servers []redwingstall.ServerReport) error {
	request := &peerv1.ReportRequest{From: from, Servers: reportsToWire(servers)}
	_, err := c.service.Report(ctx, connect.NewRequest(request))
	return turn("report", err)
}

// Clients makes and keeps a client for each peer address. It is safe for
// concurrent use.
type Clients struct {
	scheme  string
	control *http.Client
	forward *http.Client

	mu    sync.Mutex
	known map[string]*Client
}

const (
	dialTimeout      = 300 * time.Millisecond
	idleConnTimeout  = 20 * time.Second
	idleConnsPerPeer = 512
	pingAfter        = time.Second
)

// NewClients returns an empty set; a TLS configuration makes it use TLS.
func NewClients(config *tls.Config) *Clients {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Clients{
		scheme:  scheme,
		control: &http.Client{Transport: newControlTransport(config)},
		forward: &http.Client{Transport: newTransport(config), CheckRedirect: keepRedirects},
		known:   map[string]*Client{},
	}
}

func newTransport(config *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: idleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// newControlTransport speaks HTTP/2, whose compressed headers make votes, which
// are most of what idle instances send, a third smaller. Pings find connections
// that a cut left behind.
func newControlTransport(config *tls.Config) *http.Transport {
	transport := newTransport(config)
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	transport.Protocols = protocols
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingAfter}
	return transport
}

// keepRedirects passes a redirect on as the answer that it is.
func keepRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// ClientFor returns the client of a peer's address.
func (c *Clients) ClientFor(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.known[address]; client != nil {
		return client
	}
	client := &Client{service: peerv1connect.NewPeerServiceClient(c.control, c.scheme+"://"+address)}
	c.known[address] = client
	return client
}

// Retain drops the clients of addresses that are not kept.
func (c *Clients) Retain(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.known {
		if !keep[address] {
			delete(c.known, address)
		}
	}
}

// Forwarder returns the client and the URL for requests on their way to the
// home instance at an address.
func (c *Clients) Forwarder(address string) (client *http.Client, base string) {
	return c.forward, c.scheme + "://" + address + ForwardPrefix
}

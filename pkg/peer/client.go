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
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1"
	"github.com/redwingstall/redwingstall/pkg/peer/peerv1/peerv1connect"
)

// Client is a [redwingstall.Peer] over the Connect protocol.
type Client struct {
	service peerv1connect.PeerServiceClient
}

var _ redwingstall.Peer = (*Client)(nil)

// wrapError adds the call's name to an error and marks it as
// [redwingstall.ErrUnavailable].
func wrapError(call string, err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrapf(err, "peer %s", call), redwingstall.ErrUnavailable)
}

// Confirm requests a vote.
func (c *Client) Confirm(ctx context.Context, candidacy redwingstall.Candidacy) (redwingstall.Vote, error) {
	response, err := c.service.Confirm(ctx, connect.NewRequest(&peerv1.ConfirmRequest{
		Candidate:      candidacy.Candidate,
		MemberRevision: int64(candidacy.MemberRevision),
		Reached:        candidacy.HasReachedMajority,
		AppliedConfig:  int64(candidacy.AppliedConfig),
	}))
	if err != nil {
		return redwingstall.Vote{}, wrapError("confirm", err)
	}
	return voteFromWire(response.Msg), nil
}

// Learn sends records to the peer and returns the peer's id and the revisions that it
// knows afterwards.
func (c *Client) Learn(ctx context.Context, records []redwingstall.Record, complete bool) (string, map[string]redwingstall.Revision, error) {
	request := &peerv1.LearnRequest{Records: recordsToWire(records), Complete: complete}
	response, err := c.service.Learn(ctx, connect.NewRequest(request))
	if err != nil {
		return "", nil, wrapError("learn", err)
	}
	return response.Msg.GetVoter(), revisionsFromWire(response.Msg.GetRevisions()), nil
}

// Fetch returns every record that the peer knows.
func (c *Client) Fetch(ctx context.Context) ([]redwingstall.Record, error) {
	response, err := c.service.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
	if err != nil {
		return nil, wrapError("fetch", err)
	}
	return recordsFromWire(response.Msg.GetRecords()), nil
}

// HandOver offers pools to the peer and reports whether it accepted them.
func (c *Client) HandOver(ctx context.Context, offer redwingstall.HandOver) (bool, error) {
	response, err := c.service.HandOver(ctx, connect.NewRequest(&peerv1.HandOverRequest{
		From:           offer.From,
		MemberRevision: int64(offer.MemberRevision),
		Pools:          offer.Pools,
		Limits:         limitsToWire(offer.Limits),
	}))
	if err != nil {
		return false, wrapError("handOver", err)
	}
	return response.Msg.GetAccepted(), nil
}

// Report sends this instance's observations of its backend servers.
func (c *Client) Report(ctx context.Context, from string, servers []redwingstall.ServerReport) error {
	request := &peerv1.ReportRequest{From: from, Servers: reportsToWire(servers)}
	_, err := c.service.Report(ctx, connect.NewRequest(request))
	return wrapError("report", err)
}

// Clients creates and caches one client per peer address. It is safe for concurrent use.
type Clients struct {
	scheme  string
	control *http.Client
	forward *http.Client

	mu      sync.Mutex
	clients map[string]*Client
}

const (
	dialTimeout      = 300 * time.Millisecond
	idleConnTimeout  = 20 * time.Second
	idleConnsPerPeer = 512
	pingTimeout      = time.Second
	// MaxMessageBytes bounds a message between instances. The largest has all records.
	MaxMessageBytes = 32 << 20
)

// NewClients returns an empty set of clients. They use TLS if config is not nil.
func NewClients(config *tls.Config) *Clients {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Clients{
		scheme:  scheme,
		control: &http.Client{CheckRedirect: http1.NoRedirects, Transport: http1.NewTransport(newControlTransport(config))},
		forward: &http.Client{Transport: http1.NewTransport(newTransport(config)), CheckRedirect: http1.NoRedirects},
		clients: map[string]*Client{},
	}
}

func newTransport(config *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: idleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// A forwarded response has headers of its own beside those of the server.
		MaxResponseHeaderBytes: 2 * http1.MaxHeadBytes,
	}
}

// newControlTransport returns an HTTP/2 transport. Its header compression makes votes, which
// are most of the traffic of idle instances, a third smaller. Pings detect connections
// that a network partition left open.
func newControlTransport(config *tls.Config) *http.Transport {
	transport := newTransport(config)
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	transport.Protocols = protocols
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout}
	return transport
}

// ClientFor returns the client of the peer at an address.
func (c *Clients) ClientFor(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.clients[address]; client != nil {
		return client
	}
	client := &Client{service: peerv1connect.NewPeerServiceClient(c.control, c.scheme+"://"+address, connect.WithReadMaxBytes(MaxMessageBytes))}
	c.clients[address] = client
	return client
}

// Retain removes the clients of all addresses that are not in keep.
func (c *Clients) Retain(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.clients {
		if !keep[address] {
			delete(c.clients, address)
		}
	}
}

// Forwarder returns the HTTP client and the base URL for forwarding requests to the home
// instance at an address.
func (c *Clients) Forwarder(address string) (client *http.Client, base string) {
	return c.forward, c.scheme + "://" + address + ForwardPrefix
}

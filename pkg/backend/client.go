// Package backend is the client of backend servers. It sends them orders, and
// requests for which it reports whether the server ran them.
package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// Client sends orders and requests to one backend server.
type Client struct {
	baseURL     string
	orderClient *http.Client
	// releaseClient uses a new connection for each release: a response to an order has no
	// id, and one to an earlier order that comes late must not prove the release.
	releaseClient      *http.Client
	keepAlive          *keepAlive
	singleUseTransport http1.Transport
}

var _ redwingstall.BackendServer = (*Client)(nil)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// maxConcurrentHomes is the number of home instances that may have connections
	// open to a server at the same time, as during a handover between two.
	maxConcurrentHomes = 2
	// maxOrderResponseBytes is far above a response that lists each shard.
	maxOrderResponseBytes = 1 << 20
)

// NewClient returns a client of the server at an address. The client opens at most
// half of the connections that the server accepts, two of them for orders, so that
// two home instances can be connected during a handover. Repeated attempts, which are few
// and each close their connection, may exceed this.
func NewClient(address string, connections int) *Client {
	limit := max(connections/maxConcurrentHomes-2, 1)
	singleUse := newTransport(limit, true)
	return &Client{
		baseURL:            "http://" + address,
		orderClient:        &http.Client{CheckRedirect: http1.NoRedirects, Transport: newTransport(1, false)},
		releaseClient:      &http.Client{CheckRedirect: http1.NoRedirects, Transport: newTransport(1, true)},
		keepAlive:          newKeepAlive(limit, singleUse),
		singleUseTransport: singleUse,
	}
}

func newTransport(connections int, disableKeepAlives bool) http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	})
}

// Close closes the idle connections. Connections in use are not affected.
func (c *Client) Close() {
	c.orderClient.CloseIdleConnections()
	c.keepAlive.closeIdleConnections()
	c.singleUseTransport.CloseIdleConnections()
}

// CloseIdleOrders closes the idle connections for orders.
func (c *Client) CloseIdleOrders() { c.orderClient.CloseIdleConnections() }

// Grant sends an order that issues or extends grants.
func (c *Client) Grant(ctx context.Context, order redwingstall.GrantOrder) (redwingstall.OrderResponse, error) {
	return sendOrder(ctx, c, c.orderClient, "grant", order)
}

// Release sends an order that ends grants.
func (c *Client) Release(ctx context.Context, order redwingstall.ReleaseOrder) (redwingstall.OrderResponse, error) {
	return sendOrder(ctx, c, c.releaseClient, "release", order)
}

// Status returns the server's boot ID, clock and number of requests in flight.
func (c *Client) Status(ctx context.Context) (redwingstall.OrderResponse, error) {
	return sendOrder(ctx, c, c.orderClient, "status", struct{}{})
}

func sendOrder[Req any](ctx context.Context, c *Client, client *http.Client, name string, request Req) (redwingstall.OrderResponse, error) {
	url := fmt.Sprintf("%s/orders/%s", c.baseURL, name)
	response, err := wire.PostJSONWithin[Req, redwingstall.OrderResponse](ctx, client, url, maxOrderResponseBytes, request)
	return response, errors.Wrapf(err, "backend server: %s order", name)
}

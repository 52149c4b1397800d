// Package backend speaks to backend servers: orders, and requests with an exact
// account of what became of them.
package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// Client speaks to one backend server.
type Client struct {
	base    string
	orders  *http.Client
	reusing *http.Transport
	fresh   *http.Transport
}

var _ redwingstall.BackendServer = (*Client)(nil)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// homesAtOnce is the number of home instances whose connections may
	// overlap while one follows another.
	homesAtOnce = 2
)

// NewClient returns a client of the server at an address that opens at most
// half of the connections that the server takes, one of them for orders.
func NewClient(address string, connections int) *Client {
	limit := max(connections/homesAtOnce-1, 1)
	return &Client{
		base:    "http://" + address,
		orders:  &http.Client{Transport: newTransport(1, false)},
		reusing: newTransport(limit, false),
		fresh:   newTransport(limit, true),
	}
}

func newTransport(connections int, isFresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   isFresh,
	}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.orders.CloseIdleConnections()
	c.reusing.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Grant extends grants.
func (c *Client) Grant(ctx context.Context, order redwingstall.GrantOrder) (redwingstall.OrderResponse, error) {
	return send(ctx, c, "grant", order)
}

// Release ends grants.
func (c *Client) Release(ctx context.Context, order redwingstall.ReleaseOrder) (redwingstall.OrderResponse, error) {
	return send(ctx, c, "release", order)
}

// Status reads the server's boot, clock and requests in flight.
func (c *Client) Status(ctx context.Context) (redwingstall.OrderResponse, error) {
	return send(ctx, c, "status", struct{}{})
}

func send[Req any](ctx context.Context, c *Client, name string, request Req) (redwingstall.OrderResponse, error) {
	url := fmt.Sprintf("%s/orders/%s", c.base, name)
	answer, err := wire.PostJSON[Req, redwingstall.OrderResponse](ctx, c.orders, url, request)
	return answer, errors.Wrapf(err, "backend server: %s order", name)
}

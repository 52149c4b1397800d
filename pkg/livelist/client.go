// Package livelist is the client of the platform's list of live and leaving instances.
package livelist

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// ListResponse has all rows of the list.
type ListResponse struct {
	Instances []redwingstall.ListedInstance `json:"instances"`
}

// Client is a [redwingstall.LiveList] over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the list at an address. The timeout bounds each call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{baseURL: "http://" + address + "/v1/instances/", http: &http.Client{CheckRedirect: http1.NoRedirects, Timeout: timeout, Transport: http1.NewTransport(&http.Transport{MaxResponseHeaderBytes: http1.MaxHeadBytes})}}
}

var _ redwingstall.LiveList = (*Client)(nil)

// Instances returns the rows of the list.
func (c *Client) Instances(ctx context.Context) ([]redwingstall.ListedInstance, error) {
	response, err := wire.PostJSON[struct{}, ListResponse](ctx, c.http, c.baseURL+"list", struct{}{})
	return response.Instances, errors.Wrap(err, "live list")
}

// Announce adds or updates a row.
func (c *Client) Announce(ctx context.Context, row redwingstall.ListedInstance) error {
	_, err := wire.PostJSON[redwingstall.ListedInstance, struct{}](ctx, c.http, c.baseURL+"announce", row)
	return errors.Wrap(err, "live list")
}

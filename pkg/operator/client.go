package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// Client sends commands and queries to one entry instance.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 16 << 20
)

// NewClient returns a client of the operators' listener at an address. It uses TLS if
// config is not nil.
func NewClient(address, token string, config *tls.Config) *Client {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Client{
		baseURL: scheme + "://" + address,
		token:   token,
		http:    &http.Client{CheckRedirect: http1.NoRedirects, Timeout: clientTimeout, Transport: http1.NewTransport(&http.Transport{TLSClientConfig: config, MaxResponseHeaderBytes: http1.MaxHeadBytes})},
	}
}

// ResponseError reports that an instance responded to a command or a query with an
// error.
type ResponseError struct {
	Status   int
	Response ErrorResponse
}

// Error returns the reason, the detail and, after a conflict, the current revision.
func (e *ResponseError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Response.Reason, e.Response.Detail)
	if e.Response.CurrentRevision != 0 {
		text += fmt.Sprintf(" (revision %d won)", e.Response.CurrentRevision)
	}
	return text
}

// Query returns the JSON response for a path.
func (c *Client) Query(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil, 0)
}

// Command posts a body to a path. If expected is not zero, the command fails unless it
// is the newest revision. After an error marked [redwingstall.ErrUnavailable], it is
// unknown whether the command took effect.
func (c *Client) Command(ctx context.Context, path string, body []byte, expected redwingstall.Revision) ([]byte, error) {
	return c.do(ctx, http.MethodPost, path, body, expected)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, expected redwingstall.Revision) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "operator")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if expected != 0 {
		request.Header.Set("If-Match", fmt.Sprint(int64(expected)))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "operator"), redwingstall.ErrUnavailable)
	}
	defer response.Body.Close()
	responseBody, err := http1.ReadBody(response.Body, maxResponseBytes)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "operator"), redwingstall.ErrUnavailable)
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response.StatusCode, responseBody)
	}
	return responseBody, nil
}

// responseError decodes an error response. A body that is not JSON, such as that for
// an unknown path, becomes the detail.
func responseError(status int, body []byte) error {
	err := &ResponseError{Status: status}
	if json.Unmarshal(body, &err.Response) != nil {
		err.Response = ErrorResponse{Reason: "refused", Detail: strings.TrimSpace(string(body))}
	}
	if status == http.StatusServiceUnavailable {
		return errors.Mark(err, redwingstall.ErrUnavailable)
	}
	return err
}

// EscapePathSegment escapes a name for use as one segment of a path.
func EscapePathSegment(name string) string { return url.PathEscape(name) }

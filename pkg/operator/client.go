package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// Client sends commands and queries to one entry instance.
type Client struct {
	base  string
	token string
	http  *http.Client
}

const (
	clientTimeout  = 15 * time.Second
	maxAnswerBytes = 16 << 20
)

// NewClient returns a client of the operators' listener at an address; a TLS
// configuration makes it use TLS.
func NewClient(address, token string, config *tls.Config) *Client {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Client{
		base:  scheme + "://" + address,
		token: token,
		http:  &http.Client{Timeout: clientTimeout, Transport: &http.Transport{TLSClientConfig: config}},
	}
}

// ResponseError is a command or a query that was refused.
type ResponseError struct {
	Status   int
	Response ErrorResponse
}

// Error names the reason, and the revision that won a conflict.
func (e *ResponseError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Response.Reason, e.Response.Detail)
	if e.Response.CurrentRevision != 0 {
		text += fmt.Sprintf(" (revision %d won)", e.Response.CurrentRevision)
	}
	return text
}

// Query asks for the JSON at a path.
func (c *Client) Query(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil, 0)
}

// Command posts a body to a path. A revision other than zero must still be the
// newest. An error marked [redwingstall.ErrUnavailable] leaves it unknown
// whether the command took effect.
func (c *Client) Command(ctx context.Context, path string, body []byte, expected redwingstall.Revision) ([]byte, error) {
	return c.do(ctx, http.MethodPost, path, body, expected)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, expected redwingstall.Revision) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "operator")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if expected != 0 {
		request.Header.Set("If-Match", fmt.Sprint(int64(expected)))
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "operator"), redwingstall.ErrUnavailable)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "operator"), redwingstall.ErrUnavailable)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, refusedError(answer.StatusCode, text)
	}
	return text, nil
}

func refusedError(status int, text []byte) error {
	refused := &ResponseError{Status: status}
	if json.Unmarshal(text, &refused.Response) != nil {
		refused.Response = ErrorResponse{Reason: "refused", Detail: strings.TrimSpace(string(text))}
	}
	if status == http.StatusServiceUnavailable {
		return errors.Mark(refused, redwingstall.ErrUnavailable)
	}
	return refused
}

// EscapePathSegment escapes a name for use in a path.
func EscapePathSegment(name string) string { return url.PathEscape(name) }

package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// Guards against an early response that holds its handler and a server's slot without end, because
// the caller stops within its body.
func TestEarlyResponseEndsByTheDeadline(t *testing.T) {
	const sent, read = 100 << 10, 64 << 10
	for name, isRelayed := range map[string]bool{"refused": false, "relayed": true} {
		t.Run(name, func(t *testing.T) {
			limits := settings.Default()
			r := &Router{
				common:  &common.Common{Settings: limits, Metrics: metrics.NewRegistry(), Clock: redwingstall.SystemClock{}},
				buffers: buffers{requests: memory.NewBudget(limits.Limits.MaxBufferedBytes)},
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, incoming *http.Request) {
				q := &request{service: templates.Service{Kind: templates.KindKeyed}, deadline: time.Now().Add(500 * time.Millisecond)}
				if r.readBody(w, incoming, q) != nil || q.streamedBody == nil {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.CopyN(io.Discard, q.streamedBody, read)
				if !isRelayed {
					r.writeRefusal(w, refusal{redwingstall.OutcomeNotRun, "stopping", http.StatusServiceUnavailable, ""})
					return
				}
				r.relayResponse(context.Background(), w, q, &http.Response{
					StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, ContentLength: 2,
					Body: io.NopCloser(strings.NewReader("no")), Request: incoming,
				})
			}))
			defer server.Close()
			client, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			require.NoError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 307200\r\n\r\n"+strings.Repeat("x", sent))
			require.NoError(t, err)
			text, err := io.ReadAll(client)
			require.NoError(t, err, "the connection ends before the client's deadline")
			require.Contains(t, string(text), "503")
		})
	}
}

// Guards against a read deadline that outlives its body: it would cancel the context of the connection
// and so its later requests.
func TestDeadlineOfABodyLeavesTheConnection(t *testing.T) {
	const timeout, wait = 200 * time.Millisecond, 300 * time.Millisecond
	s := settings.Default()
	r := &Router{common: &common.Common{Settings: s}, buffers: buffers{requests: memory.NewBudget(s.Limits.MaxBufferedBytes)}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, incoming *http.Request) {
		if incoming.Method == http.MethodPost {
			q := &request{service: templates.Service{Kind: templates.KindKeyed}, deadline: time.Now().Add(timeout)}
			_ = r.readBody(w, incoming, q)
			_, _ = io.Copy(io.Discard, q.body())
			time.Sleep(wait)
			r.relayResponse(context.Background(), w, q, &http.Response{
				StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: 2,
				Body: io.NopCloser(strings.NewReader("ok")), Request: incoming,
			})
			time.Sleep(wait) // a time-out that is due cancels the context meanwhile
		}
		if incoming.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		sent, err := http.NewRequestWithContext(t.Context(), method, server.URL, strings.NewReader(strings.Repeat("x", 300<<10)))
		require.NoError(t, err)
		if method == http.MethodGet {
			sent.Body, sent.ContentLength = http.NoBody, 0
		}
		response, err := server.Client().Do(sent)
		require.NoError(t, err, method)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err, method)
		require.NoError(t, response.Body.Close())
	}
}

package callers

import (
	"context"
	"log/slog"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// weakHandler keeps weak pointers to its last response and to the body of the request.
type weakHandler struct {
	request, response weak.Pointer[byte]
}

func (h *weakHandler) Serve(_ context.Context, r dispatch.Request) backends.Response {
	body := make([]byte, largeResponse)
	h.request, h.response = weak.Make(&r.Body[0]), weak.Make(&body[0])
	return backends.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
}

// Guards against idle connections that each hold their last request and response, whose memory
// counts as released.
func TestIdleConnectionHoldsNoBodies(t *testing.T) {
	h := &weakHandler{}
	f := &fixture{t: t, listener: bufconn.Listen(connectionBuffer)}
	f.server = NewServer(f.listener, Config{
		Handler: h, Limits: func() redwingstall.CallerLimits { return defaultLimits }, Count: func(string) {},
		MaxBuffered: testMaxBuffered, Log: slog.New(slog.DiscardHandler),
	})
	go f.server.Run()
	t.Cleanup(f.stop)
	c, r := f.dial()
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	status, body, _ := answer(t, r)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, largeResponse)
	require.Eventually(t, func() bool {
		runtime.GC()
		return h.request.Value() == nil && h.response.Value() == nil
	}, clientTimeout, 10*time.Millisecond)
	require.NoError(t, c.Close())
}

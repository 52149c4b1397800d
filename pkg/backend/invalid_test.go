package backend_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
)

// Guards against a response that no client can interpret, such as one with the status 000, which
// net/http passes on. A refusal with such a status promises nothing.
func TestInvalidResponsesAreNoResponse(t *testing.T) {
	const fields = "Request-Id: r1\r\n"
	const empty = fields + "Content-Length: 0\r\n\r\n"
	for name, response := range map[string]string{
		"status000":        "HTTP/1.1 000 \r\n" + empty,
		"status099":        "HTTP/1.1 099 x\r\n" + empty,
		"status600":        "HTTP/1.1 600 x\r\n" + empty,
		"refusal600":       "HTTP/1.1 600 x\r\nRedwing-Refusal: shed\r\n" + empty,
		"status999":        "HTTP/1.1 999 x\r\n" + empty,
		"sign":             "HTTP/1.1 +20 OK\r\n" + empty,
		"letters":          "HTTP/1.1 2x0 OK\r\n" + empty,
		"twoDigits":        "HTTP/1.1 20 OK\r\n" + empty,
		"fourDigits":       "HTTP/1.1 2000 OK\r\n" + empty,
		"switching":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + empty,
		"noContentLength":  "HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
		"noContentChunked": "HTTP/1.1 204 No Content\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"twoLengths":       "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
		"blankName":        "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + empty,
		"blankLength":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
		"blankChunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + empty,
		"blankRefusal":     "HTTP/1.1 503 Unavailable\r\nRedwing-Refusal: shed\r\nBad Name: x\r\n" + empty,
		"controlName":      "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + empty,
		"informational":    "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + empty,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newRawServer(t, func(c net.Conn, run func()) {
				readRequest(c)
				run()
				_, _ = io.WriteString(c, response)
				_, _ = io.Copy(io.Discard, c) // until the client closes
			})
			client := backend.NewClient(server.listener.Addr().String(), 10)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := client.Do(ctx, chargeRequest("r1"))
			attempt := &backend.AttemptError{}
			require.True(t, errors.As(err, &attempt))
			require.Equal(t, redwingstall.OutcomeUnknown, attempt.Outcome)
			require.NoError(t, ctx.Err())
		})
	}
}

// Guards against a body that ends in an invalid trailer and counts as complete.
func TestInvalidTrailerEndsTheBodyWithAnError(t *testing.T) {
	for trailer, isValid := range map[string]bool{"": true, "Name: x\r\n": true, "Bad Name: x\r\n": false, "Bad\x01Name: x\r\n": false} {
		server := newRawServer(t, func(c net.Conn, _ func()) {
			readRequest(c)
			_, _ = io.WriteString(c, okResponse("r1", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n"))
		})
		client := backend.NewClient(server.listener.Addr().String(), 10)
		defer client.Close()
		response, err := client.Do(t.Context(), chargeRequest("r1"))
		require.NoError(t, err)
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		require.Equal(t, isValid, err == nil, "trailer %q: %v", trailer, err)
	}
}

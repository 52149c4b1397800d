package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

// Guards against the answer to an order, or of the store, that is no HTTP response. net/http hands
// the connection of a 101 to its caller: the call then waited beyond its deadline.
func TestInvalidResponsesAreNoResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\n"
	for name, response := range map[string]string{
		"status000":     "HTTP/1.1 000 \r\nInstance-Id: i-1\r\nContent-Length: 2\r\n\r\n{}",
		"status600":     "HTTP/1.1 600 x\r\nInstance-Id: i-1\r\nContent-Length: 2\r\n\r\n{}",
		"letters":       "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\n{}",
		"twoDigits":     "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}",
		"switching":     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n{}",
		"twoLengths":    ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\n{}  ",
		"noContent":     "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n{}",
		"blankName":     ok + "Bad Name: x\r\nContent-Length: 2\r\n\r\n{}",
		"blankLength":   ok + "Content-Length : 2\r\n\r\n{}  ",
		"blankChunked":  ok + "Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"controlName":   ok + "Bad\x01Name: x\r\nContent-Length: 2\r\n\r\n{}",
		"conflict":      "HTTP/1.1 409 Conflict\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n",
		"misdirected":   "HTTP/1.1 421 Misdirected Request\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\n{}",
		"trailer":       ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nBad Name: x\r\n\r\n",
		"hints":         strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10000) + ok + "Content-Length: 2\r\n\r\n{}",
	} {
		for client, call := range clientCalls {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := listen(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, response) })
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				ended := make(chan error, 1)
				go func() { ended <- call(ctx, address) }()
				select {
				case err := <-ended:
					require.Error(t, err)
					require.NoError(t, ctx.Err(), "the response must end the call, not its timeout")
					require.False(t, errors.Is(err, redwingstall.ErrFenced) || errors.Is(err, redwingstall.ErrAddressReassigned), "%v", err)
				case <-time.After(8 * time.Second):
					require.Fail(t, "the call does not end")
				}
			})
		}
	}
}

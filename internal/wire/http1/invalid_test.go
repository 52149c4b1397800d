package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

// Guards against the answer to an order, or of the store, that is no HTTP response. net/http hands
// the connection of a 101 to its caller: the call then waited beyond its deadline.
func TestInvalidResponsesAreNoResponse(t *testing.T) {
	for name, response := range map[string]string{
		"status000":  "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n{}",
		"status600":  "HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\n{}",
		"letters":    "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\n{}",
		"twoDigits":  "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}",
		"switching":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n{}",
		"twoLengths": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\n{}  ",
		"noContent":  "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n{}",
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

package eviction_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

// Guards against an early response that waits for the rest of the body: the server reads it to its
// end if it does not recognize the type of the request's body.
func TestEarlyResponseDoesNotWaitForTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := bufconn.Listen(128 << 10)
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		server := &http.Server{Handler: eviction.Track(refuse), ConnContext: eviction.SaveConnection, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(eviction.NewListener(pipe, eviction.NewTable(1), func(string) {})) }()
		client, err := pipe.DialContext(context.Background())
		require.NoError(t, err)
		_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 307200\r\n\r\n")
		require.NoError(t, err)
		_, err = client.Write(make([]byte, 100<<10))
		require.NoError(t, err)
		require.NoError(t, client.SetDeadline(time.Now().Add(time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
		time.Sleep(time.Minute) // the server's goroutines end
	})
}

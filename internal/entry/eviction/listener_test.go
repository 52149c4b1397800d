package eviction_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

// Guards against clients of an HTTP server that keep others out by what they do not send or read.
// Connections that wait for their client are closed for new ones, and those whose request is
// served are not.
func TestServerClosesStalledConnectionsForNewOnes(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":  "",
		"halfHead": "GET /short HTTP/1.1\r\nHo",
		"halfBody": "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
		"both":     "POST /both HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
		"unread":   "GET /long HTTP/1.1\r\nHost: h\r\n\r\n",
		"idle":     "GET /short HTTP/1.1\r\nHost: h\r\n\r\n",
		"served":   "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pipe := bufconn.Listen(4 << 10)
				table := eviction.NewTable(1)
				mux := http.NewServeMux()
				mux.HandleFunc("/short", func(http.ResponseWriter, *http.Request) {})
				mux.HandleFunc("/body", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })
				mux.HandleFunc("/long", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
				mux.HandleFunc("/both", func(w http.ResponseWriter, r *http.Request) {
					_ = http.NewResponseController(w).EnableFullDuplex()
					read := make(chan struct{})
					go func() {
						defer close(read)
						_, _ = io.ReadAll(r.Body)
					}()
					_, _ = w.Write(make([]byte, 1<<20))
					<-read
				})
				mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
				server := &http.Server{Handler: eviction.Track(mux), ConnContext: eviction.SaveConnection, ReadHeaderTimeout: time.Minute}
				go func() { _ = server.Serve(eviction.NewListener(pipe, table, func(string) {})) }()
				dial := func() net.Conn {
					c, err := pipe.DialContext(context.Background())
					require.NoError(t, err)
					require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
					synctest.Wait()
					return c
				}
				first := dial()
				_, err := io.WriteString(first, text)
				require.NoError(t, err)
				time.Sleep(100 * time.Millisecond) // the shortest stall within a request or response
				second := dial()
				_, _, evicted := table.Counts()
				if name == "served" {
					require.Zero(t, evicted)
					_, err := second.Read(make([]byte, 1))
					require.ErrorIs(t, err, io.EOF)
				} else {
					require.EqualValues(t, 1, evicted)
					_, err = io.WriteString(second, "GET /short HTTP/1.1\r\nHost: h\r\n\r\n")
					require.NoError(t, err)
					_, err := second.Read(make([]byte, 1))
					require.NoError(t, err)
				}
				require.NoError(t, first.Close())
				require.NoError(t, second.Close())
				require.NoError(t, server.Close())
				time.Sleep(2 * time.Second) // the handlers end
			})
		})
	}
}

// Guards against a running request that is cut because another one of its connection waits for the
// client in two ways, and is counted twice.
func TestRequestBesideABlockedOneIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := bufconn.Listen(64 << 10)
		table := eviction.NewTable(1)
		mux := http.NewServeMux()
		mux.HandleFunc("/both", func(w http.ResponseWriter, r *http.Request) {
			read := make(chan struct{})
			go func() {
				defer close(read)
				_, _ = io.ReadAll(r.Body)
			}()
			_, _ = w.Write(make([]byte, 16<<20))
			<-read
		})
		mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: eviction.Track(mux), ConnContext: eviction.SaveConnection, ReadHeaderTimeout: time.Minute, Protocols: protocols}
		go func() { _ = server.Serve(eviction.NewListener(pipe, table, func(string) {})) }()
		transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return pipe.DialContext(ctx) }}
		body, sender := io.Pipe()
		blocked, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/both", body)
		require.NoError(t, err)
		unread, err := transport.RoundTrip(blocked)
		require.NoError(t, err)
		status := make(chan int, 1)
		go func() {
			running, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/wait", http.NoBody)
			response, err := transport.RoundTrip(running)
			if err != nil {
				status <- 0
				return
			}
			_ = response.Body.Close()
			status <- response.StatusCode
		}()
		synctest.Wait()
		other, err := pipe.DialContext(context.Background())
		require.NoError(t, err)
		synctest.Wait()
		_, _, evicted := table.Counts()
		require.Zero(t, evicted)
		require.Equal(t, http.StatusOK, <-status)
		require.NoError(t, other.Close())
		require.NoError(t, unread.Body.Close())
		require.NoError(t, sender.Close())
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
		time.Sleep(time.Minute) // the goroutines of both ends end
	})
}

package slowclients_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

const (
	frontAddress = ip + ":8641"
	readyAddress = ip + ":8640"
	peerPort     = 7620
	// requestTimeout is the deadline of the requests.
	requestTimeout = 1500 * time.Millisecond
	longPath       = "/pooled/long"
	shortPath      = "/pooled/short"
)

// longServer answers requests for longPath with a long response, and others as the stand-in does.
func longServer(server *platformtest.Server) http.Handler {
	body := bytes.Repeat([]byte("x"), longResponse)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != longPath {
			server.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", server.ID)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	})
}

// startGateway starts an instance on a platform with four servers of one service.
func startGateway(t *testing.T) *process {
	store := platformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(redwingstall.Configuration{
		Version: 1,
		Routes: []redwingstall.Route{{
			Name: "pooled", Host: "h", Prefix: "/pooled/", Kind: redwingstall.KindSafe, Timeout: requestTimeout, Target: requestTimeout / 2,
			MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: "pooled", Weight: 1}},
		}},
		Services: map[string]redwingstall.ServiceSpec{"pooled": {Name: "pooled", HealthPath: "/health", MaxConnections: 200, WarmupRate: 1000}},
		Limits:   redwingstall.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	ledger := platformtest.NewLedger()
	for n := range 4 {
		server, err := platformtest.NewServer(ledger, platformtest.Server{
			ID: fmt.Sprint("pooled-", n), StartedAtMillis: 1, Service: "pooled", FailureDomain: "north", Slots: 64, Work: 5 * time.Millisecond,
		})
		require.NoError(t, err)
		t.Cleanup(server.Crash)
		listener := httptest.NewServer(longServer(server))
		t.Cleanup(func() {
			listener.CloseClientConnections()
			listener.Close()
		})
		store.Register(server, strings.TrimPrefix(listener.URL, "http://"), false)
	}
	settings := filepath.Join(t.TempDir(), "boot.conf")
	text := platformtest.Settings("entry-1", ip, "north", frontAddress, readyAddress, peerPort, strings.TrimPrefix(storeServer.URL, "http://")) +
		platformtest.FirstStartSettings + fmt.Sprintf("limits.memory_mb=%d\nlimits.max_fds=%d\n", memoryMB, maxFDs)
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	program, err := buildRedwingstall()
	require.NoError(t, err)
	p := start(t, program, "gateway", "--settings", settings)
	require.Eventually(t, func() bool { return askGateway() == http.StatusOK }, waitLimit, 50*time.Millisecond)
	return p
}

var asked atomic.Int64

// askGateway sends an ordinary request on a new connection and returns the status of its
// response, or 0.
func askGateway() int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+frontAddress+shortPath, http.NoBody)
	if err != nil {
		return 0
	}
	request.Host, request.Close = "h", true
	platformtest.SetRequest(request.Header, fmt.Sprint("ordinary", asked.Add(1)), requestTimeout, -1)
	return statusOf(request)
}

// statusOf sends a request and returns the status of its whole response, or 0.
func statusOf(request *http.Request) int {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// gatewayRequest returns a request of a slow client.
func gatewayRequest(method, id string, isLong bool, lines string) string {
	path := shortPath
	if isLong {
		path = longPath
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%s\r\n", method, path, id, requestTimeout.Milliseconds(), lines)
}

// Guards against the memory and the descriptors that slow clients take of an instance on a
// platform, each of which was bounded for one client but not for all.
func TestGatewayWithstandsSlowClients(t *testing.T) {
	for name, behaviors := range cases {
		t.Run(name, func(t *testing.T) {
			startGateway(t).withstand(t, crowd{target{frontAddress, gatewayRequest}, behaviors}, askGateway)
		})
	}
}

// Guards against slow clients of the addresses that serve readiness and metrics.
func TestGatewayWithstandsSlowClientsOfOperators(t *testing.T) {
	for name, address := range map[string]string{"readiness": readyAddress, "metrics": ip + ":9464"} {
		t.Run(name, func(t *testing.T) {
			request := func(method, _ string, _ bool, lines string) string {
				return method + " /metrics HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"
			}
			startGateway(t).withstand(t, crowd{target{address, request}, cases["all"]}, askGateway)
		})
	}
}

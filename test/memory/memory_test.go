// Package memory_test fills all that the program holds for others at once, as faulty servers and
// clients may. The program runs as a separate process; store and servers are stand-ins.
package memory_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// folder holds the program.
var folder string

func TestMain(m *testing.M) {
	var err error
	if folder, err = os.MkdirTemp("", "redwingstall"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// buildProgram builds the program, without the race detector, which takes many times the memory.
var buildProgram = sync.OnceValues(func() (string, error) {
	program := filepath.Join(folder, "redwingstall")
	output, err := exec.Command("go", "build", "-o", program, "github.com/redwingstall/redwingstall/cmd/redwingstall").CombinedOutput()
	return program, errors.Wrapf(err, "%s", output)
})

const (
	// ip is an address of the loopback network that no other test listens on, so that fixed
	// ports are free.
	ip           = "127.80.0.1"
	frontAddress = ip + ":8641"
	readyAddress = ip + ":8640"
	peerPort     = 7620
	// memoryMB is the least memory of a machine of the users' sites.
	memoryMB = 184
	// serversPerService is twice the number of those in trouble.
	serversPerService = 6
	// requestTimeout is the deadline of the requests.
	requestTimeout = 1500 * time.Millisecond
	// fillTime is how long the memory is filled.
	fillTime  = 12 * time.Second
	waitLimit = 30 * time.Second
)

// instance is the program with its stand-ins.
type instance struct {
	t       *testing.T
	process *exec.Cmd
	servers []*platformtest.Server
	logs    *os.File
}

func deploy(t *testing.T) *instance {
	i := &instance{t: t}
	store := platformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	route := func(name, service string) redwingstall.Route {
		return redwingstall.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: redwingstall.KindSafe, Timeout: requestTimeout, Target: requestTimeout / 2,
			MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: service, Weight: 1}},
		}
	}
	spec := func(name string, isSharded bool) redwingstall.ServiceSpec {
		return redwingstall.ServiceSpec{Name: name, HealthPath: "/health", MaxConnections: 200, WarmupRate: 1000, Sharded: isSharded}
	}
	store.Configure(redwingstall.Configuration{
		Version: 1, Routes: []redwingstall.Route{route("pooled", "pooled"), route("keyed", "keyed")},
		Services: map[string]redwingstall.ServiceSpec{"pooled": spec("pooled", false), "keyed": spec("keyed", true)},
		Limits:   redwingstall.CallerLimits{HeaderBytes: 1 << 14, BodyBytes: 16 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: waitLimit},
	})
	ledger := platformtest.NewLedger()
	for n := range 2 * serversPerService {
		service := []string{"pooled", "keyed"}[n%2]
		server, err := platformtest.NewServer(ledger, platformtest.Server{
			ID: fmt.Sprintf("%s-%d", service, n), StartedAtMillis: 1, Service: service, FailureDomain: "north", Slots: 32, Work: 10 * time.Millisecond, Sharded: service == "keyed",
		})
		require.NoError(t, err)
		t.Cleanup(server.Crash)
		store.Register(server, server.Address(), false)
		i.servers = append(i.servers, server)
	}
	i.start(strings.TrimPrefix(storeServer.URL, "http://"))
	return i
}

func (i *instance) start(store string) {
	run := i.t.TempDir()
	settings := filepath.Join(run, "boot.conf")
	text := platformtest.Settings("entry-1", ip, "north", frontAddress, readyAddress, peerPort, store) +
		platformtest.FirstStartSettings + fmt.Sprintf("limits.memory_mb=%d\n", memoryMB)
	require.NoError(i.t, os.WriteFile(settings, []byte(text), 0o600))
	logs, err := os.Create(filepath.Join(run, "log"))
	require.NoError(i.t, err)
	program, err := buildProgram()
	require.NoError(i.t, err)
	i.process = exec.Command(program, "gateway", "--settings", settings)
	i.process.Stdout, i.process.Stderr = logs, logs
	require.NoError(i.t, i.process.Start())
	i.t.Cleanup(func() {
		_ = i.process.Process.Kill()
		_ = i.process.Wait()
		_ = logs.Close()
	})
	require.Eventually(i.t, func() bool {
		status, _ := ask(context.Background(), http.DefaultClient, "ready", "/keyed/x", 7)
		return status == http.StatusOK
	}, waitLimit, 50*time.Millisecond)
}

var asked atomic.Int64

// ask sends a request and reads its response.
func ask(ctx context.Context, client *http.Client, id, path string, key int) (int, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+frontAddress+path, http.NoBody)
	if err != nil {
		return 0, 0
	}
	request.Host = "h"
	platformtest.SetRequest(request.Header, fmt.Sprint(id, asked.Add(1)), requestTimeout, key)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, time.Since(began)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, time.Since(began)
	}
	return response.StatusCode, time.Since(began)
}

// anonymousBytes returns the resident memory of the program without the pages of files.
func (i *instance) anonymousBytes() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident, shared int
	_, _ = fmt.Fscan(bytes.NewReader(text), &size, &resident, &shared)
	return (resident - shared) * os.Getpagesize()
}

// sampleMemory keeps the most memory that the program takes, until the returned function is called,
// whose channel is closed when the last sample was taken.
func (i *instance) sampleMemory(ctx context.Context, most *int) (stop func() <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			*most = max(*most, i.anonymousBytes())
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return func() <-chan struct{} {
		cancel()
		return done
	}
}

// results are the responses to the requests of a load.
type results struct {
	mu        sync.Mutex
	statuses  map[int]int
	sent      int
	latencies []time.Duration
}

func (r *results) record(status int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
	r.sent++
	if status == http.StatusOK {
		r.latencies = append(r.latencies, took)
	}
}

// String returns the numbers of responses by status, and the latency of those served.
func (r *results) String() string {
	slices.Sort(r.latencies)
	percentile := func(p float64) time.Duration {
		if len(r.latencies) == 0 {
			return 0
		}
		return r.latencies[int(p*float64(len(r.latencies)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%v p50 %v p99 %v", r.statuses, percentile(0.5), percentile(0.99))
}

// load makes clients send requests to a path until the context ends.
func load(ctx context.Context, running *sync.WaitGroup, clients int, pause time.Duration, path string) *results {
	r := &results{statuses: map[int]int{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	for n := range clients {
		running.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				r.record(ask(ctx, client, "load", path, (n*977+k*31)%redwingstall.KeyCount))
				time.Sleep(pause)
			}
		})
	}
	return r
}

// floodPause is the time between two connections of a client that floods the program.
const floodPause = time.Second

// flood opens connections that send a text and then a block again and again, until the context
// ends. It opens a new one when the program closes one.
func flood(ctx context.Context, running *sync.WaitGroup, connections int, start, block string) {
	for range connections {
		running.Go(func() {
			for ctx.Err() == nil {
				floodOnce(ctx, start, block)
				time.Sleep(floodPause)
			}
		})
	}
}

func floodOnce(ctx context.Context, start, block string) {
	connection, err := net.Dial("tcp", frontAddress)
	if err != nil {
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	_, err = io.WriteString(connection, start)
	for many := strings.Repeat(block, 1+(4<<10)/len(block)); err == nil; {
		_, err = io.WriteString(connection, many)
	}
}

// idle keeps connections open until the context ends.
func idle(ctx context.Context, t *testing.T, connections int) {
	for range connections {
		connection, err := net.Dial("tcp", frontAddress)
		require.NoError(t, err)
		context.AfterFunc(ctx, func() { _ = connection.Close() })
	}
}

// Guards against review/7, and against the sum of what is bounded for each connection: servers
// that answer without end, or never finish long responses, and clients that send without end,
// all at once.
func TestMemoryStaysBelowItsLimit(t *testing.T) {
	for name, troubles := range map[string][]platformtest.Trouble{
		"endless": {platformtest.EndlessResponses, platformtest.EndlessResponseHeads, platformtest.EndlessResponses},
		"stalled": {platformtest.StalledResponses, platformtest.StalledHeads, platformtest.StalledResponses},
		"clients": {}, // only clients send without end
	} {
		t.Run(name, func(t *testing.T) {
			i := deploy(t)
			for n, trouble := range troubles {
				i.servers[2*n].DisturbRequests(trouble)
				i.servers[2*n+1].DisturbRequests(trouble)
				i.servers[2*n+1].DisturbOrders([]platformtest.Disorder{platformtest.EndlessHeads, platformtest.EndlessBodies}[n%2])
			}
			most := 0
			sampled := i.sampleMemory(t.Context(), &most)
			idle(t.Context(), t, 1500)
			ctx, cancel := context.WithTimeout(t.Context(), fillTime)
			defer cancel()
			var running sync.WaitGroup
			pooled := load(ctx, &running, 30, 100*time.Millisecond, "/pooled/x")
			keyed := load(ctx, &running, 30, 100*time.Millisecond, "/keyed/x")
			const request = "GET /pooled/x HTTP/1.1\r\nHost: h\r\nRequest-Id: "
			flood(ctx, &running, 60, request, "y")
			flood(ctx, &running, 60, request+"flood\r\n", "X: y\r\n")
			flood(ctx, &running, 60, "POST /none/x HTTP/1.1\r\nHost: h\r\nRequest-Id: flood\r\nContent-Length: 16000000\r\n\r\n", "z")
			flood(ctx, &running, 20, "", request+"flood\r\n"+strings.Repeat("X: y\r\n", 2500)+"\r\n")
			running.Wait()
			<-sampled()
			t.Logf("at most %d MB of %d; pooled %v; keyed %v", most>>20, memoryMB, pooled, keyed)
			require.Less(t, most>>20, memoryMB)
			require.Positive(t, most)
			require.Greater(t, 2*pooled.statuses[http.StatusOK], pooled.sent, "half of the servers are sound")
		})
	}
}

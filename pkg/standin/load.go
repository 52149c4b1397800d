package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/redwingstall/redwingstall"
)

// LoadConfig describes a load of bounded duration on loopback addresses.
type LoadConfig struct {
	// Targets are IP:port addresses, used in round-robin order.
	Targets []string
	// Path is the path of the requests; %d is replaced by a key number below Keys.
	Path   string
	Keys   int
	Method string
	// Rate is the arrival rate of an open loop in requests per second. If it is zero, a closed
	// loop keeps InFlight requests in flight.
	Rate     float64
	InFlight int
	Duration time.Duration
	Timeout  time.Duration
	// Zipf is the exponent of the distribution of keys if above 1; otherwise keys are uniform.
	Zipf float64
	Seed uint64
	// AddIdempotencyKey adds a new idempotency key to each request.
	AddIdempotencyKey bool
	// Header is added to each request.
	Header http.Header
}

// LoadReport is the result of a load. Latencies are measured from the intended start of each
// request, so that delays of the load generator are included.
type LoadReport struct {
	Sent     int64            `json:"sent"`
	Answered int64            `json:"answered"`
	Seconds  float64          `json:"seconds"`
	P50      float64          `json:"p50Millis"`
	P99      float64          `json:"p99Millis"`
	P999     float64          `json:"p999Millis"`
	Max      float64          `json:"maxMillis"`
	Refusals map[string]int64 `json:"refusals"`
	// EachSecond has one entry for each second of the load.
	EachSecond []SecondReport `json:"eachSecond"`
}

// SecondReport has the counts of one second of a load and the 99th percentile of its latencies in
// milliseconds, by the intended start of the requests.
type SecondReport struct {
	Answered int64   `json:"answered"`
	Refused  int64   `json:"refused"`
	P99      float64 `json:"p99Millis"`
}

// loader sends one load and records its results. Fields after mu are guarded by it.
type loader struct {
	config        LoadConfig
	client        *http.Client
	start         time.Time
	targetCounter atomic.Int64

	mu                sync.Mutex
	random            *rand.Rand
	zipf              *rand.Zipf
	latencies         *hdrhistogram.Histogram
	latenciesBySecond []*hdrhistogram.Histogram
	refusedBySecond   []int64
	sent              int64
	refusals          map[string]int64
}

const (
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
	maxOpenRequests  = 20_000
	microsPerMilli   = 1000
)

// RunLoad sends a load and returns its results. It refuses targets that are not loopback addresses.
func RunLoad(ctx context.Context, config LoadConfig) (LoadReport, error) {
	for _, target := range config.Targets {
		host, _, err := net.SplitHostPort(target)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return LoadReport{}, fmt.Errorf("target %q is not a loopback address", target)
		}
	}
	l := newLoader(config)
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	if config.Rate > 0 {
		l.runOpenLoop(ctx)
	} else {
		l.runClosedLoop(ctx)
	}
	return l.report(), nil
}

func newLoader(config LoadConfig) *loader {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	l := &loader{
		config:    config,
		client:    &http.Client{Timeout: config.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenRequests}},
		start:     time.Now(),
		random:    random,
		latencies: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		refusals:  map[string]int64{},
	}
	if config.Zipf > 1 {
		l.zipf = rand.NewZipf(random, config.Zipf, 1, uint64(max(config.Keys, 1)-1))
	}
	return l
}

// runOpenLoop starts requests at their intended times, without waiting for earlier responses
// unless maxOpenRequests are in flight.
func (l *loader) runOpenLoop(ctx context.Context) {
	requests := sync.WaitGroup{}
	period := time.Duration(float64(time.Second) / l.config.Rate)
	slots := make(chan struct{}, maxOpenRequests)
	for n := 0; ctx.Err() == nil; n++ {
		intendedStart := l.start.Add(time.Duration(n) * period)
		if !sleepUnlessDone(ctx, time.Until(intendedStart)) {
			break
		}
		slots <- struct{}{}
		requests.Go(func() {
			l.sendRequest(intendedStart)
			<-slots
		})
	}
	requests.Wait()
}

// runClosedLoop keeps InFlight requests in flight until the context ends.
func (l *loader) runClosedLoop(ctx context.Context) {
	workers := sync.WaitGroup{}
	for range l.config.InFlight {
		workers.Go(func() {
			for ctx.Err() == nil {
				l.sendRequest(time.Now())
			}
		})
	}
	workers.Wait()
}

func (l *loader) sendRequest(intendedStart time.Time) {
	target := l.config.Targets[int(l.targetCounter.Add(1))%len(l.config.Targets)]
	refusal := l.roundTrip("http://" + target + l.path())
	l.record(intendedStart, refusal)
}

// path returns the path of the next request with a random key.
func (l *loader) path() string {
	if !strings.Contains(l.config.Path, "%d") {
		return l.config.Path
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zipf != nil {
		return fmt.Sprintf(l.config.Path, l.zipf.Uint64())
	}
	return fmt.Sprintf(l.config.Path, l.random.IntN(max(l.config.Keys, 1)))
}

// roundTrip sends a request and returns the reason of a failure, or "" if it succeeds.
func (l *loader) roundTrip(url string) string {
	request, err := http.NewRequest(l.config.Method, url, http.NoBody)
	if err != nil {
		return err.Error()
	}
	request.Header = l.config.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set(redwingstall.HeaderRequestID, uuid.NewString())
	if l.config.AddIdempotencyKey {
		request.Header.Set(redwingstall.HeaderIdempotencyKey, uuid.NewString())
	}
	response, err := l.client.Do(request)
	if err != nil {
		return "connection"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut"
	}
	if response.StatusCode >= http.StatusBadRequest {
		return response.Header.Get(redwingstall.HeaderOutcome) + "." + response.Header.Get(redwingstall.HeaderReason)
	}
	return ""
}

// record counts the result of one request in the second of its intended start.
func (l *loader) record(intendedStart time.Time, refusal string) {
	latencyMicros := min(time.Since(intendedStart).Microseconds(), maxLatencyMicros)
	second := int(intendedStart.Sub(l.start).Seconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.latenciesBySecond) <= second {
		l.latenciesBySecond = append(l.latenciesBySecond, hdrhistogram.New(1, maxLatencyMicros, histogramDigits))
		l.refusedBySecond = append(l.refusedBySecond, 0)
	}
	l.sent++
	if refusal != "" {
		l.refusals[refusal]++
		l.refusedBySecond[second]++
		return
	}
	_ = l.latencies.RecordValue(latencyMicros) // fails only above maxLatencyMicros
	_ = l.latenciesBySecond[second].RecordValue(latencyMicros)
}

func (l *loader) report() LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	millis := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
	}
	report := LoadReport{
		Sent:     l.sent,
		Answered: l.latencies.TotalCount(),
		Seconds:  time.Since(l.start).Seconds(),
		P50:      millis(l.latencies, 50),
		P99:      millis(l.latencies, 99),
		P999:     millis(l.latencies, 99.9),
		Max:      millis(l.latencies, 100),
		Refusals: l.refusals,
	}
	for i, second := range l.latenciesBySecond {
		report.EachSecond = append(report.EachSecond, SecondReport{second.TotalCount(), l.refusedBySecond[i], millis(second, 99)})
	}
	return report
}

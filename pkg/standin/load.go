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

// LoadConfig describes a bounded load on loopback addresses.
type LoadConfig struct {
	// Targets are IP:port addresses, used in turn.
	Targets []string
	// Path of the requests; %d becomes a key number.
	Path   string
	Keys   int
	Method string
	// Rate in requests a second opens the loop; zero keeps InFlight under way.
	Rate     float64
	InFlight int
	Duration time.Duration
	Timeout  time.Duration
	// Zipf above 1 skews the keys.
	Zipf float64
	Seed uint64
	// AddIdempotencyKey adds a fresh idempotency key to each request.
	AddIdempotencyKey bool
	// Header is added to each request.
	Header http.Header
}

// LoadReport is what a load measured. Latencies count from the intended start.
type LoadReport struct {
	Sent     int64            `json:"sent"`
	Answered int64            `json:"answered"`
	Seconds  float64          `json:"seconds"`
	P50      float64          `json:"p50Millis"`
	P99      float64          `json:"p99Millis"`
	P999     float64          `json:"p999Millis"`
	Max      float64          `json:"maxMillis"`
	Refusals map[string]int64 `json:"refusals"`
	// EachSecond has the 99th percentile in milliseconds and the refusals of
	// each second of the load.
	EachSecond []SecondReport `json:"eachSecond"`
}

// SecondReport is one second of a load.
type SecondReport struct {
	Answered int64   `json:"answered"`
	Refused  int64   `json:"refused"`
	P99      float64 `json:"p99Millis"`
}

// loader runs one load.
type loader struct {
	config LoadConfig
	client *http.Client
	began  time.Time
	next   atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	zipf     *rand.Zipf
	total    *hdrhistogram.Histogram
	seconds  []*hdrhistogram.Histogram
	refused  []int64
	sent     int64
	refusals map[string]int64
}

const (
	longestMicros  = 60_000_000
	histogramSig   = 3
	maxInFlight    = 20_000
	microsPerMilli = 1000
)

// RunLoad sends a load and reports what came of it.
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
		l.open(ctx)
	} else {
		l.closed(ctx)
	}
	return l.report(), nil
}

func newLoader(config LoadConfig) *loader {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	l := &loader{
		config:   config,
		client:   &http.Client{Timeout: config.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
		began:    time.Now(),
		random:   random,
		total:    hdrhistogram.New(1, longestMicros, histogramSig),
		refusals: map[string]int64{},
	}
	if config.Zipf > 1 {
		l.zipf = rand.NewZipf(random, config.Zipf, 1, uint64(max(config.Keys, 1)-1))
	}
	return l
}

// open starts requests at the intended times, whatever became of earlier ones.
func (l *loader) open(ctx context.Context) {
	running := sync.WaitGroup{}
	period := time.Duration(float64(time.Second) / l.config.Rate)
	slots := make(chan struct{}, maxInFlight)
	for n := 0; ctx.Err() == nil; n++ {
		intended := l.began.Add(time.Duration(n) * period)
		if !sleep(ctx, time.Until(intended)) {
			break
		}
		slots <- struct{}{}
		running.Go(func() {
			l.one(intended)
			<-slots
		})
	}
	running.Wait()
}

func (l *loader) closed(ctx context.Context) {
	running := sync.WaitGroup{}
	for range l.config.InFlight {
		running.Go(func() {
			for ctx.Err() == nil {
				l.one(time.Now())
			}
		})
	}
	running.Wait()
}

func (l *loader) one(intended time.Time) {
	target := l.config.Targets[int(l.next.Add(1))%len(l.config.Targets)]
	refusal := l.request("http://" + target + l.path())
	l.note(intended, refusal)
}

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

// request returns the reason of a refusal, or nothing.
func (l *loader) request(url string) string {
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
	answer, err := l.client.Do(request)
	if err != nil {
		return "connection"
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return "cut"
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return answer.Header.Get(redwingstall.HeaderOutcome) + "." + answer.Header.Get(redwingstall.HeaderReason)
	}
	return ""
}

func (l *loader) note(intended time.Time, refusal string) {
	took := min(time.Since(intended).Microseconds(), longestMicros)
	second := int(intended.Sub(l.began).Seconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, hdrhistogram.New(1, longestMicros, histogramSig))
		l.refused = append(l.refused, 0)
	}
	l.sent++
	if refusal != "" {
		l.refusals[refusal]++
		l.refused[second]++
		return
	}
	_ = l.total.RecordValue(took) // the value is bounded above
	_ = l.seconds[second].RecordValue(took)
}

func (l *loader) report() LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	millis := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
	}
	report := LoadReport{
		Sent:     l.sent,
		Answered: l.total.TotalCount(),
		Seconds:  time.Since(l.began).Seconds(),
		P50:      millis(l.total, 50),
		P99:      millis(l.total, 99),
		P999:     millis(l.total, 99.9),
		Max:      millis(l.total, 100),
		Refusals: l.refusals,
	}
	for i, second := range l.seconds {
		report.EachSecond = append(report.EachSecond, SecondReport{second.TotalCount(), l.refused[i], millis(second, 99)})
	}
	return report
}

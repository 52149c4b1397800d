// Package admission limits the concurrent requests at the backend servers of one
// pool to the capacity of the servers. Only the pool's home instance admits
// requests, so slots are counted exactly and not divided among instances. The
// package does no I/O.
package admission

import (
	"time"
)

// ServerConfig is the capacity of a backend server.
type ServerConfig struct {
	Name string
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// ColdLimit is the concurrency limit after a cold start.
	ColdLimit int
}

// AttemptResult is the result of an attempt at a server.
type AttemptResult int

// The results of an attempt.
const (
	// AttemptSucceeded means that the server answered the request.
	AttemptSucceeded AttemptResult = iota
	// AttemptShed means that the server refused the request for lack of capacity.
	AttemptShed
	// AttemptRefused means that the server refused the request for another reason.
	AttemptRefused
	// AttemptFailed means that the connection failed or the attempt timed out.
	AttemptFailed
	// AttemptCanceled means that the caller canceled the attempt.
	AttemptCanceled
)

// server is the state of one backend server at its home instance.
type server struct {
	config ServerConfig
	// limit is the concurrency limit. It rises by about one per limit successes,
	// and drops to the cold limit in one step.
	limit    float64
	inFlight int
	// othersInFlight counts the requests of other home instances at the server, such as
	// those of a former one.
	othersInFlight int
	// abandoned counts attempts that ended here without a response and that the
	// server may still be running.
	abandoned           int
	backgroundInFlight  int
	isOpen              bool
	boot                string
	latency             ewma
	consecutiveFailures int
	// consecutiveSheds sets the length of the backoff; no request is sent before
	// backoffUntil.
	consecutiveSheds int
	backoffUntil     time.Time
	ejectedUntil     time.Time
	queue            queue
	served           int64
}

func newServer(config ServerConfig) *server {
	return &server{config: config, limit: float64(config.ColdLimit)}
}

// hasCapacity reports whether one more request may start. Background requests
// leave one slot to the foreground.
func (s *server) hasCapacity(background bool, now time.Time) bool {
	if !s.isOpen || now.Before(s.backoffUntil) {
		return false
	}
	if background && s.config.Slots > 1 && s.backgroundInFlight >= s.config.Slots-1 {
		return false
	}
	return s.inFlight+s.othersInFlight+s.abandoned < int(s.limit)
}

// start counts a request that begins.
func (s *server) start(background bool) {
	s.inFlight++
	if background {
		s.backgroundInFlight++
	}
}

// end counts a request that ended, and updates the limit, the latency and the
// failure counts by its result.
func (s *server) end(background bool, result AttemptResult, latency time.Duration) {
	s.inFlight--
	if background {
		s.backgroundInFlight--
	}
	switch result {
	case AttemptSucceeded:
		s.consecutiveFailures = 0
		s.consecutiveSheds = 0
		s.served++
		s.latency.add(latency)
		s.limit = min(s.limit+1/s.limit, float64(s.config.Slots))
	case AttemptShed:
		s.resetLimit()
		s.consecutiveSheds++
	case AttemptFailed:
		s.abandoned++
		s.consecutiveFailures++
		s.latency.add(latency)
	case AttemptCanceled:
		s.abandoned++
		// The response would have taken at least this long. A hedge that won at
		// another server must not hide how slow this one is.
		s.latency.raiseTo(latency)
	}
}

const (
	minShedBackoff      = 50 * time.Millisecond
	maxShedBackoff      = time.Second
	maxBackoffDoublings = 5
)

// shedBackoff returns how long no request is sent to the server after it shed
// one. Without a backoff, a shedding server would attract all requests, because
// it answers faster than any other. The backoff doubles with each further shed.
func (s *server) shedBackoff() time.Duration {
	return min(minShedBackoff<<min(s.consecutiveSheds-1, maxBackoffDoublings), maxShedBackoff)
}

// resetLimit returns the server to its cold limit, from which it warms up again.
func (s *server) resetLimit() {
	s.limit = float64(s.config.ColdLimit)
}

// cost estimates the seconds that a further request takes at the server.
func (s *server) cost() float64 {
	const minLatencySeconds = 0.0001
	ahead := float64(s.inFlight + s.othersInFlight + s.abandoned + s.queue.len() + 1)
	return ahead / max(s.limit, 1) * max(s.latency.seconds(), minLatencySeconds)
}

// ewma is an exponentially weighted moving average of latencies, in seconds. A
// new value has a weight of 1/8, as in the smoothed round-trip time of RFC 6298.
type ewma struct {
	value    float64
	hasValue bool
}

const ewmaGain = 0.125

func (e *ewma) add(latency time.Duration) {
	if !e.hasValue {
		e.value = latency.Seconds()
		e.hasValue = true
		return
	}
	e.value += ewmaGain * (latency.Seconds() - e.value)
}

// raiseTo raises the average to a lower bound of the latency.
func (e *ewma) raiseTo(lowerBound time.Duration) {
	if e.hasValue {
		e.value = max(e.value, lowerBound.Seconds())
	}
}

func (e *ewma) seconds() float64 { return e.value }

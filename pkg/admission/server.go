// Package admission keeps the requests at the backend servers of one pool
// within what the servers bear. The pool's home instance alone admits, so that
// slots are counted exactly and not divided among instances. It does no I/O.
package admission

import (
	"time"
)

// ServerConfig is what a backend server bears.
type ServerConfig struct {
	Name string
	// Slots is the number of requests that it runs at one time.
	Slots int
	// ColdLimit is the number of requests that it bears in a cold start.
	ColdLimit int
}

// Verdict is how an attempt at a server ended.
type Verdict int

// The verdicts on an attempt.
const (
	// VerdictSuccess is an answer.
	VerdictSuccess Verdict = iota
	// VerdictShed is the server's refusal for lack of room.
	VerdictShed
	// VerdictRefused is any other refusal by the server.
	VerdictRefused
	// VerdictFailed is a failure of the connection, or no answer in time.
	VerdictFailed
	// VerdictCanceled is an attempt that the caller gave up.
	VerdictCanceled
)

// server is the state of one backend server at its home instance.
type server struct {
	config ServerConfig
	// limit rises by one with each limit successes in a row and falls to the
	// cold limit at once; it is the number of requests the server gets.
	limit    float64
	inFlight int
	// foreign counts the requests of former home instances.
	foreign int
	// lingering counts attempts that were given up here and that the server may
	// not have noticed yet.
	lingering  int
	background int
	open       bool
	boot       string
	latency    ewma
	failures   int
	// sheds counts the refusals in a row; no request goes out before rested.
	sheds   int
	rested  time.Time
	ejected time.Time
	queue   queue
	served  int64
}

func newServer(config ServerConfig) *server {
	return &server{config: config, limit: float64(config.ColdLimit)}
}

// hasRoom reports whether one more request may start.
func (s *server) hasRoom(background bool, now time.Time) bool {
	if !s.open || now.Before(s.rested) {
		return false
	}
	if background && s.config.Slots > 1 && s.background >= s.config.Slots-1 {
		return false
	}
	return s.inFlight+s.foreign+s.lingering < int(s.limit)
}

// start counts a request in.
func (s *server) start(background bool) {
	s.inFlight++
	if background {
		s.background++
	}
}

// end counts a request out and learns from it.
func (s *server) end(background bool, verdict Verdict, took time.Duration) {
	s.inFlight--
	if background {
		s.background--
	}
	switch verdict {
	case VerdictSuccess:
		s.failures = 0
		s.sheds = 0
		s.served++
		s.latency.add(took)
		s.limit = min(s.limit+1/s.limit, float64(s.config.Slots))
	case VerdictShed:
		s.chill()
		s.sheds++
	case VerdictFailed:
		s.lingering++
		s.failures++
		s.latency.add(took)
	case VerdictCanceled:
		s.lingering++
		// The answer would have taken longer yet: a hedge that won elsewhere
		// must not hide how slow the server is.
		s.latency.raise(took)
	}
}

const (
	firstRest   = 50 * time.Millisecond
	longestRest = time.Second
	mostDoubled = 5
)

// rest returns how long the server is left alone after it shed. One that sheds
// answers faster than any other, and would draw all requests to it.
func (s *server) rest() time.Duration {
	return min(firstRest<<min(s.sheds-1, mostDoubled), longestRest)
}

// chill starts the ramp anew.
func (s *server) chill() {
	s.limit = float64(s.config.ColdLimit)
}

// cost is the time a further request is likely to take here.
func (s *server) cost() float64 {
	const shortest = 0.0001
	ahead := float64(s.inFlight + s.foreign + s.lingering + s.queue.len() + 1)
	return ahead / max(s.limit, 1) * max(s.latency.seconds(), shortest)
}

// ewma is a moving average of latencies; a new value counts for an eighth, as
// in the smoothed round-trip time of RFC 6298.
type ewma struct {
	value float64
	known bool
}

const ewmaGain = 0.125

func (e *ewma) add(latency time.Duration) {
	if !e.known {
		e.value = latency.Seconds()
		e.known = true
		return
	}
	e.value += ewmaGain * (latency.Seconds() - e.value)
}

// raise takes in that a value was at least so much.
func (e *ewma) raise(least time.Duration) {
	if e.known {
		e.value = max(e.value, least.Seconds())
	}
}

func (e *ewma) seconds() float64 { return e.value }

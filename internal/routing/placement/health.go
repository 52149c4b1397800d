package placement

import (
	"math"
	"time"
)

const (
	// ejectionThreshold is how many consecutive failures eject a server.
	ejectionThreshold = 2
	// baseEjectionTime doubles with each further failure, up to maxEjectionTime.
	baseEjectionTime = 300 * time.Millisecond
	maxEjectionTime  = 2400 * time.Millisecond
	// replacedExtraFailures are added for a server that was replaced. They make an
	// ejection of 1.2 s, in which service discovery mostly reports that another server
	// has the address.
	replacedExtraFailures = 2
	// attemptHalfLife is the half-life of the counts behind failure rates: a server with
	// six requests per second shows in its rate within two seconds.
	attemptHalfLife = 2 * time.Second
	// priorAttempts without a failure are assumed of each server.
	priorAttempts = 2.0
	// failureRateThreshold of the attempts of all instances, and at least minFailures
	// failures, eject a server for all: it fails every request, or does not exist.
	failureRateThreshold = 0.6
	minFailures          = 3.0
	// unresponsiveFactor times the expected completion without any response makes a
	// server unresponsive: one in a hundred requests takes three times the mean, and
	// other load on its machine may slow the server down as much.
	unresponsiveFactor = 3.0
	// MinUnresponsiveTime is the minimum time without a response after which a server is
	// taken to be unresponsive. It is longer than a pause of the server or the
	// retransmission of a lost packet.
	MinUnresponsiveTime = 600 * time.Millisecond
	// probeDelay is how long a server stays unresponsive after the last request that
	// waited there was abandoned. Then one request probes it.
	probeDelay = time.Second
)

// attemptCounter counts attempts and failures with exponential decay.
type attemptCounter struct {
	attempts  float64
	failures  float64
	countedAt time.Time
}

func (c *attemptCounter) add(now time.Time, hasFailed bool) {
	c.attempts, c.failures = c.countsAt(now)
	c.countedAt = now
	c.attempts++
	if hasFailed {
		c.failures++
	}
}

// countsAt returns the counts as decayed at a time.
func (c *attemptCounter) countsAt(now time.Time) (attempts, failures float64) {
	decay := math.Exp2(-float64(now.Sub(c.countedAt)) / float64(attemptHalfLife))
	return c.attempts * decay, c.failures * decay
}

// health is what one instance has observed of a server's responses.
type health struct {
	counter             attemptCounter
	consecutiveFailures int
	// consecutiveEndless is the number of endless responses since the last useful one.
	consecutiveEndless int
	ejectedUntil       time.Time
	// unansweredSince is the start of the time without a response: when the last
	// response came, or the first request was sent after an idle time. It is zero while
	// no response is pending.
	unansweredSince time.Time
	answeredAt      time.Time
	abandonedAt     time.Time
}

func (h *health) begin(now time.Time) {
	if h.unansweredSince.IsZero() || !h.abandonedAt.IsZero() && now.Sub(h.abandonedAt) >= probeDelay {
		h.unansweredSince = now
		h.abandonedAt = time.Time{}
	}
}

func (h *health) end(now time.Time, o Outcome, inFlight int) {
	switch o.Kind {
	case Served:
		h.consecutiveFailures, h.consecutiveEndless = 0, 0
		h.counter.add(now, false)
	case Failed:
		h.consecutiveFailures++
		h.counter.add(now, true)
		if o.IsReplaced {
			h.consecutiveFailures = max(h.consecutiveFailures, ejectionThreshold+replacedExtraFailures)
		}
		if o.IsEndless {
			h.consecutiveEndless++
			h.consecutiveFailures = max(h.consecutiveFailures, ejectionThreshold)
		}
		if h.consecutiveFailures >= ejectionThreshold {
			h.ejectedUntil = now.Add(min(baseEjectionTime<<min(h.consecutiveFailures-ejectionThreshold, 4), maxEjectionTime))
		}
	case Shed:
		h.counter.add(now, true)
	case Abandoned, Neutral:
	}
	switch {
	case o.IsAnswered:
		h.answeredAt = now
		h.abandonedAt = time.Time{}
		h.unansweredSince = time.Time{}
		if inFlight > 0 {
			h.unansweredSince = now
		}
	case inFlight == 0:
		h.abandonedAt = now
	}
}

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// unansweredDuration returns how long requests have been pending while no response arrived.
func (h *health) unansweredDuration(now time.Time) time.Duration {
	if h.unansweredSince.IsZero() || !h.abandonedAt.IsZero() && now.Sub(h.abandonedAt) >= probeDelay {
		return 0
	}
	return now.Sub(h.unansweredSince)
}

// EjectionReason is why a server is ejected.
type EjectionReason string

// The reasons of an ejection.
const (
	EjectionNone EjectionReason = ""
	// EjectionFailures is due to consecutive failures of this instance's attempts.
	EjectionFailures EjectionReason = "failures"
	// EjectionFailureRate is due to the failure rate over all instances.
	EjectionFailureRate EjectionReason = "failing"
	// EjectionEndless is due to consecutive responses without end, each of which takes the
	// link and the memory of the others.
	EjectionEndless EjectionReason = "endless"
	// EjectionUnresponsive is due to the lack of any response.
	EjectionUnresponsive EjectionReason = "silent"
)

func (s *serverState) ejectionReason(now time.Time, expected time.Duration) EjectionReason {
	switch {
	case s.health.isEjected(now) && s.health.consecutiveEndless >= ejectionThreshold:
		return EjectionEndless
	case s.health.isEjected(now):
		return EjectionFailures
	case s.isFailing(now):
		return EjectionFailureRate
	case s.isUnresponsive(now, expected):
		return EjectionUnresponsive
	}
	return EjectionNone
}

// isUnresponsive reports whether some instance has waited far longer than expected while
// none got a response: the server, or its machine, has failed.
func (s *serverState) isUnresponsive(now time.Time, expected time.Duration) bool {
	return s.unansweredTime(now) >= max(MinUnresponsiveTime, time.Duration(unresponsiveFactor*float64(expected)))
}

// unansweredTime returns the longest time that some instance has waited while none got a
// response.
func (s *serverState) unansweredTime(now time.Time) time.Duration {
	longest := s.health.unansweredDuration(now)
	for _, r := range s.reports {
		if r.isFresh(now) && r.UnansweredTime > 0 {
			longest = max(longest, r.UnansweredTime+now.Sub(r.receivedAt))
		}
	}
	return min(longest, now.Sub(s.answeredAt()))
}

// answeredAt returns when some instance last got a response, as far as it is known.
func (s *serverState) answeredAt() time.Time {
	if s.loadAt.After(s.health.answeredAt) {
		return s.loadAt
	}
	return s.health.answeredAt
}

// reportedAt returns when the newest report of other instances was received.
func (s *serverState) reportedAt() time.Time {
	newest := time.Time{}
	for _, r := range s.reports {
		if r.receivedAt.After(newest) {
			newest = r.receivedAt
		}
	}
	return newest
}

// isFailing reports whether nearly all recent attempts of all instances failed.
func (s *serverState) isFailing(now time.Time) bool {
	attempts, failures := s.attemptCounts(now)
	return failures >= minFailures && failures > failureRateThreshold*(attempts+priorAttempts)
}

// failureRate returns the share of failures in the recent attempts of all instances.
func (s *serverState) failureRate(now time.Time) float64 {
	attempts, failures := s.attemptCounts(now)
	return failures / (attempts + priorAttempts)
}

func (s *serverState) attemptCounts(now time.Time) (attempts, failures float64) {
	attempts, failures = s.health.counter.countsAt(now)
	for _, r := range s.reports {
		switch {
		case !r.isFresh(now):
		case r.scope == scopeTotal:
			attempts, failures = max(attempts, r.Attempts), max(failures, r.Failures)
		default:
			attempts += r.Attempts
			failures += r.Failures
		}
	}
	return attempts, failures
}

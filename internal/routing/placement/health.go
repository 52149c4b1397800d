package placement

import (
	"math"
	"time"
)

const (
	// failuresToRest is how many failures in a row make a server rest.
	failuresToRest = 2
	// restFor doubles with each further failure, up to maxRest.
	restFor = 300 * time.Millisecond
	maxRest = 2400 * time.Millisecond
	// replacedFailures more make a rest of 1.2 s, in which service discovery mostly
	// tells that another server has the address.
	replacedFailures = 2
	// tallyHalfLife of the counts that failure rates rest on: a server with six
	// requests a second shows in it within two seconds.
	tallyHalfLife = 2 * time.Second
	// tallyPrior attempts without a failure are assumed of each server.
	tallyPrior = 2.0
	// failingRate of the attempts of all instances, and at least so many failures,
	// make a server rest for all: it fails everything, or is not there any more.
	failingRate   = 0.6
	leastFailures = 3.0
	// silentFactor times the expected completion without any answer makes a
	// server silent: requests that take three times their mean are one in a
	// hundred, and a server's neighbors may slow it down as much.
	silentFactor = 3.0
	// MinUnresponsiveTime of a server that is taken to be gone, above a pause of it or a
	// lost packet that is sent again.
	MinUnresponsiveTime = 600 * time.Millisecond
	// silenceKept is how long a server counts as silent after the last request
	// that waited there was given up; then one request tries it again.
	silenceKept = time.Second
)

// tally counts attempts and failures, and forgets them by half in a half-life.
type tally struct {
	attempts float64
	failures float64
	counted  time.Time
}

func (t *tally) add(now time.Time, hasFailed bool) {
	t.attempts, t.failures = t.at(now)
	t.counted = now
	t.attempts++
	if hasFailed {
		t.failures++
	}
}

// at returns the counts as they are remembered at a time.
func (t *tally) at(now time.Time) (attempts, failures float64) {
	share := math.Exp2(-float64(now.Sub(t.counted)) / float64(tallyHalfLife))
	return t.attempts * share, t.failures * share
}

// health is what one instance saw of a server's answers.
type health struct {
	tally tally
	// failures in a row.
	failures int
	restTill time.Time
	// silentSince is when the first request was sent, or the last answer came,
	// since which nothing has come; zero if nothing is awaited.
	silentSince time.Time
	answeredAt  time.Time
	abandonedAt time.Time
}

func (h *health) begin(now time.Time) {
	if h.silentSince.IsZero() || !h.abandonedAt.IsZero() && now.Sub(h.abandonedAt) >= silenceKept {
		h.silentSince = now
		h.abandonedAt = time.Time{}
	}
}

func (h *health) end(now time.Time, o Outcome, inFlight int) {
	switch o.Kind {
	case Served:
		h.failures = 0
		h.tally.add(now, false)
	case Failed:
		h.failures++
		h.tally.add(now, true)
		if o.IsReplaced {
			h.failures = max(h.failures, failuresToRest+replacedFailures)
		}
		if h.failures >= failuresToRest {
			h.restTill = now.Add(min(restFor<<min(h.failures-failuresToRest, 4), maxRest))
		}
	case Shed:
		h.tally.add(now, true)
	case Abandoned, Neutral:
	}
	switch {
	case o.IsAnswered:
		h.answeredAt = now
		h.abandonedAt = time.Time{}
		h.silentSince = time.Time{}
		if inFlight > 0 {
			h.silentSince = now
		}
	case inFlight == 0:
		h.abandonedAt = now
	}
}

func (h *health) isResting(now time.Time) bool { return now.Before(h.restTill) }

// silence is how long an answer has been awaited in vain.
func (h *health) silence(now time.Time) time.Duration {
	if h.silentSince.IsZero() || !h.abandonedAt.IsZero() && now.Sub(h.abandonedAt) >= silenceKept {
		return 0
	}
	return now.Sub(h.silentSince)
}

// EjectionReason says why a server rests.
type EjectionReason string

// The reasons of a rest.
const (
	EjectionNone EjectionReason = ""
	// EjectionFailures in a row of this instance's attempts.
	EjectionFailures EjectionReason = "failures"
	// EjectionFailureRate is a server that fails all instances.
	EjectionFailureRate  EjectionReason = "failing"
	EjectionUnresponsive EjectionReason = "silent"
)

func (s *state) restReason(now time.Time, expected time.Duration) EjectionReason {
	switch {
	case s.health.isResting(now):
		return EjectionFailures
	case s.isFailing(now):
		return EjectionFailureRate
	case s.isSilent(now, expected):
		return EjectionUnresponsive
	}
	return EjectionNone
}

// isSilent reports whether some instance has waited for far longer than expected
// and none got an answer meanwhile: the server, or its machine, is gone.
func (s *state) isSilent(now time.Time, expected time.Duration) bool {
	answered := s.health.answeredAt
	if s.loadAt.After(answered) {
		answered = s.loadAt
	}
	longest := s.health.silence(now)
	for _, t := range s.sources {
		if t.isFresh(now) && t.UnansweredTime > 0 {
			longest = max(longest, t.UnansweredTime+now.Sub(t.at))
		}
	}
	longest = min(longest, now.Sub(answered))
	return longest >= max(MinUnresponsiveTime, time.Duration(silentFactor*float64(expected)))
}

// isFailing reports whether nearly all recent attempts of all instances failed.
func (s *state) isFailing(now time.Time) bool {
	attempts, failures := s.tallies(now)
	return failures >= leastFailures && failures > failingRate*(attempts+tallyPrior)
}

// failureRate of a server over all instances.
func (s *state) failureRate(now time.Time) float64 {
	attempts, failures := s.tallies(now)
	return failures / (attempts + tallyPrior)
}

func (s *state) tallies(now time.Time) (attempts, failures float64) {
	attempts, failures = s.health.tally.at(now)
	for _, t := range s.sources {
		if t.isFresh(now) {
			attempts += t.Attempts
			failures += t.Failures
		}
	}
	return attempts, failures
}

package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	// reactionTime is how long it takes until other instances know of a request: two
	// exchanges and the way between two failure domains.
	reactionTime = 500 * time.Millisecond
	// The demand by which instances share a limit decays with a time constant in which
	// demandRequests are within the limit, within the given bounds.
	demandRequests = 40
	minDemandTime  = 2 * time.Second
	maxDemandTime  = 20 * time.Second
	// priorShare is the demand that each instance is taken to have beyond what it reports, as
	// a part of the limit's equal share in that time.
	priorShare = 0.2
	// levelShare is the part of a positive level that all instances may spend within
	// reactionTime. The rest makes up for what they do not know of each other.
	levelShare = 0.4
	// maxDebtTime is how long the instances that stay in touch repay, at most, when others get
	// out of touch.
	maxDebtTime = 2 * time.Second
	// memoryTime is how long an instance with requests of an account keeps a token for the
	// next one.
	memoryTime = time.Minute
	// minTokens is the least capacity of an instance's tokens: a request needs one.
	minTokens = 1.0
	// maxRetryAfter bounds what a refused client is told.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter keeps refused clients from returning at once.
	minRetryAfter = 100 * time.Millisecond
	// slotsPerWindow is the resolution of the sum over the last window. The current part
	// comes on top, so that the sum is never too small.
	slotsPerWindow = 20
	// nearlyFull is the part of a bucket from which it counts as full.
	nearlyFull = 0.95
	// minStay bounds the factor by which an instance on its own estimates the others.
	minStay = 0.001
)

// account is the state of one account at this instance.
type account struct {
	id        uint32
	createdAt time.Time
	name      string
	// rank orders the instances at random, from 0 to 1.
	rank float64

	mu          sync.Mutex
	rate, burst float64
	demandTime  time.Duration
	// level is the credit of all instances together as far as this one knows, which may be
	// negative. at is the time up to which it and the demand are computed.
	level float64
	at    time.Time
	// share is the part of the limit that level refers to.
	share float64
	// reserve is the credit set aside for instances out of touch. outOfTouchAt is when there
	// were some last.
	reserve      float64
	outOfTouchAt time.Time
	// freshWeight is the weight while no instance was silent.
	freshWeight float64
	// tokens are what this instance may spend before others know of it.
	tokens float64
	// counts are the admitted requests of this instance, of those that report to it and of
	// the others, less the refunded ones, whose number is in refunds; demand is what was asked
	// for, decaying.
	counts, refunds [origins]uint32
	demand          [origins]float64
	// active is the number of instances with requests of the account.
	active [origins]int
	// marks and nextMarks are the counts between one and two marking intervals ago, and at
	// the last mark. reported and reportedRefunds are the own part of the last report.
	marks, nextMarks          [origins]uint32
	reported, reportedRefunds uint32
	markedAt                  time.Time
	// spent are the known requests of the last window, by slot.
	spent      [slotsPerWindow + 1]float64
	spentSum   float64
	slot       int64
	demandedAt time.Time
	refusedAt  time.Time
	// returnAt is when the client that was refused last was told to return.
	returnAt time.Time

	// sendsLeft is how many more reports of each scope name the account.
	sendsLeft [scopes]atomic.Int32
}

// The origins of requests.
const (
	originOwn = iota
	// originDirect are the instances that report to this one directly.
	originDirect
	// originFar are the others, whose sums arrive.
	originFar
	origins
)

// decision is the outcome for one request, with its inputs.
type decision struct {
	isAdmitted bool
	retryAfter time.Duration
	// isOnset is set for the first refusal in a window.
	isOnset       bool
	level, weight float64
}

func (a *account) configure(now time.Time, s standing, configured redwingstall.ClientAccount, b Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at.IsZero() {
		a.setLimit(configured)
		a.createdAt, a.at, a.markedAt, a.share = now, now, now, s.share()
		a.level = a.burst * a.share
		_, capacity := a.pace(now, s, b)
		a.tokens = min(capacity, minTokens)
		return
	}
	a.advance(now, s, b)
	// A higher limit adds no credit at once: the instances learn of it one after the other.
	a.setLimit(configured)
	a.level = min(a.level, a.burst*a.share)
}

func (a *account) setLimit(configured redwingstall.ClientAccount) {
	a.rate, a.burst = configured.Rate, configured.Burst
	inSeconds := min(max(demandRequests/a.rate, minDemandTime.Seconds()), maxDemandTime.Seconds())
	a.demandTime = time.Duration(inSeconds * float64(time.Second))
}

// decay is what remains of a demand after a time.
func (a *account) decay(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / a.demandTime.Seconds())
}

// slotOf numbers the parts of windows since the account is known, in monotonic time.
func (a *account) slotOf(now time.Time, b Bounds) int64 {
	return int64(now.Sub(a.createdAt) / slotTime(b))
}

func slotTime(b Bounds) time.Duration { return max(b.Window/slotsPerWindow, 1) }

// advance computes the state at now. Times that go back change nothing.
func (a *account) advance(now time.Time, s standing, b Bounds) {
	a.clearSlots(a.slotOf(now, b))
	a.setShare(s.share(), b)
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	decay := a.decay(elapsed)
	for n := range a.demand {
		a.demand[n] *= decay
	}
	a.level = min(a.level+a.rate*a.share*elapsed.Seconds(), max(a.burst*a.share, a.level))
	if a.share < 1 {
		a.outOfTouchAt = now
		a.reserve += a.rate * (1 - a.share) * elapsed.Seconds()
	} else if now.Sub(a.outOfTouchAt) > returnTime {
		a.reserve = 0
	}
	rate, capacity := a.pace(now, s, b)
	a.tokens = min(a.tokens+rate*elapsed.Seconds(), max(capacity, 0))
	if now.Sub(a.markedAt) >= markInterval {
		a.marks, a.nextMarks, a.markedAt = a.nextMarks, a.counts, now
	}
}

// setShare adopts the part of the limit that belongs to the instances in touch. Those that are
// out of touch are taken to have spent as much as these since their last report, in proportion.
func (a *account) setShare(share float64, b Bounds) {
	if share < a.share && a.share > 0 {
		stay := share / a.share
		full, refill := a.burst*a.share, a.rate*a.share*silenceTimeout.Seconds()
		seen := a.spentLately(b)
		unseen := seen * (1 - stay) / max(stay, minStay)
		if a.level >= nearlyFull*full {
			unseen = max(unseen-max(refill-seen, 0), 0) // a full bucket got no refill for what was not known
		}
		unseen = min(unseen, full+refill)
		// The level belongs to all of them, as the debt does.
		next := max(stay*(a.level-unseen), -maxDebtTime.Seconds()*a.rate*share)
		a.reserve += max(a.level-next, 0)
		a.level = next
		// What was spent before belongs to all of them.
		a.spentSum = 0
		for n := range a.spent {
			a.spent[n] *= share / a.share
			a.spentSum += a.spent[n]
		}
	}
	a.share = share
}

// spentLately returns what was spent within silenceTimeout, at least.
func (a *account) spentLately(b Bounds) float64 {
	sum := 0.0
	for n := range min(int(silenceTimeout/slotTime(b))+1, len(a.spent)) {
		sum += a.spent[(a.slot+int64(len(a.spent)-n))%int64(len(a.spent))]
	}
	return sum
}

func (a *account) clearSlots(slot int64) {
	for n := a.slot + 1; n <= slot && n <= a.slot+int64(len(a.spent)); n++ {
		a.spentSum -= a.spent[n%int64(len(a.spent))]
		a.spent[n%int64(len(a.spent))] = 0
	}
	a.slot = max(a.slot, slot)
}

// weight is this instance's share of the demand at those in touch.
func (a *account) weight(s standing) float64 {
	prior := priorShare * a.rate * a.share / float64(s.heard) * a.demandTime.Seconds()
	total := a.demand[originOwn] + max(a.demand[originDirect], 0) + max(a.demand[originFar], 0) + prior*float64(s.heard)
	if total <= 0 {
		return 1 / float64(s.heard)
	}
	return (a.demand[originOwn] + prior) / total
}

// pace returns the rate at which this instance gets tokens, and how many it may hold.
func (a *account) pace(now time.Time, s standing, b Bounds) (rate, capacity float64) {
	spendable := a.credit(b)
	if spendable > 0 {
		spendable *= levelShare
		if !s.isFresh {
			spendable = 0
		}
	}
	total := a.rate*a.share + spendable/reactionTime.Seconds()
	if total <= 0 {
		return 0, max(a.tokens, minTokens)
	}
	weight := a.weight(s)
	if s.isFresh {
		a.freshWeight = weight
	} else {
		// Without reports, the demand of the others seems to fall.
		weight = min(weight, a.freshWeight)
	}
	rate = weight * total
	headroom := ((a.rate*b.Window.Seconds()+a.burst)*(1+b.Overrun)+b.Slack)*a.share - a.spentSum
	divided := headroom * (weightedHeadroom*weight + equalHeadroom/float64(s.heard))
	if !s.isFresh {
		divided *= silentHeadroom
	}
	capacity = max(rate*reactionTime.Seconds(), divided)
	isActive := now.Sub(a.demandedAt) < memoryTime
	sharing := float64(s.heard)
	if isActive {
		sharing = float64(1 + a.active[originDirect] + a.active[originFar])
	}
	switch {
	case s.isFresh && headroom >= assumedDemand*a.rate*a.share:
		tokens := min(max(calmHeadroom*headroom/sharing, minCalmTokens), maxCalmTokens)
		rate, capacity = max(rate, tokens/calmTime.Seconds()), max(capacity, tokens)
	case isActive:
		capacity = max(capacity, minTokens, min(activeHeadroom*headroom/sharing, maxCalmTokens))
	case a.isFirst(headroom / sharing):
		capacity = max(capacity, minTokens)
	}
	if headroom < minTokens && a.isFirst(headroom) {
		return rate, minTokens
	}
	return rate, min(capacity, max(headroom, 0))
}

// An account that leaves assumedDemand times its limit of a window needs no exact division among
// the instances: no account is taken to send more within reactionTime, which is nine times its
// usual load. Each instance then has a few tokens, and gets as many in calmTime. Requests that
// arrive at random seldom exceed that. calmHeadroom bounds, in times of what is left, the sum over
// the instances with recent requests of the account.
const (
	assumedDemand = 3.0
	calmHeadroom  = 1.5
	minCalmTokens = 2.0
	maxCalmTokens = 6.0
	calmTime      = time.Second
)

// slackShare is the part of the platform's slack that accounts may use beyond their bursts. It
// matters to accounts with a few requests a second.
const slackShare = 0.3

// credit is the level with what may be overdrawn.
func (a *account) credit(b Bounds) float64 { return a.level + slackShare*b.Slack*a.share }

// The parts of what is left in the window that the instances may hold as tokens: by their
// demand, equally, and equally among those with recent requests of the account.
const (
	weightedHeadroom = 0.25
	equalHeadroom    = 0.2
	activeHeadroom   = 0.25
	// silentHeadroom reduces them while an instance is silent, which may be out of touch.
	silentHeadroom = 0.1
)

// isFirst selects the given part of the instances, others for each account.
func (a *account) isFirst(part float64) bool { return a.rank < part }

func (a *account) admit(now time.Time, s standing, b Bounds) decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now, s, b)
	a.demand[originOwn]++
	a.demandedAt = now
	if a.tokens >= 1 && a.credit(b) > -a.rate*a.share*reactionTime.Seconds() {
		a.tokens--
		a.charge(originOwn, 1)
		return decision{isAdmitted: true}
	}
	d := decision{level: a.level, weight: a.weight(s), isOnset: a.refusedAt.IsZero() || now.Sub(a.refusedAt) > b.Window}
	a.refusedAt = now
	d.retryAfter = a.retryAfter(now, s, b, d.weight)
	return d
}

// retryAfter returns when a refused client finds credit. Each one is told a later time, so that
// not all return for the same credit.
func (a *account) retryAfter(now time.Time, s standing, b Bounds, weight float64) time.Duration {
	ownRate := a.rate * a.share * weight
	if ownRate <= 0 {
		return maxRetryAfter
	}
	rate, _ := a.pace(now, s, b)
	wait := max(-a.credit(b), 0) / (a.rate * a.share)
	wait += max(1-a.tokens, 0) / max(rate, ownRate)
	earliest := now.Add(time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second)))
	a.returnAt = a.returnAt.Add(time.Duration(min(1/ownRate, maxRetryAfter.Seconds()) * float64(time.Second)))
	if a.returnAt.Before(earliest) {
		a.returnAt = earliest
	}
	if latest := now.Add(maxRetryAfter); a.returnAt.After(latest) {
		a.returnAt = latest
	}
	return max(a.returnAt.Sub(now), minRetryAfter)
}

// charge records n requests.
func (a *account) charge(origin int, n float64) {
	a.counts[origin] += uint32(int32(n))
	a.spend(n, n)
}

// spend takes n from the level, and records those in the window.
func (a *account) spend(n, inWindow float64) {
	a.level = min(a.level-n, max(a.burst*a.share, a.level))
	a.spent[a.slot%int64(len(a.spent))] += inWindow
	a.spentSum += inWindow
}

// chargeReturned records n requests of instances that were out of touch for a time. What was
// set aside for them covers them first.
func (a *account) chargeReturned(origin int, n float64, silence time.Duration, b Bounds) {
	a.counts[origin] += uint32(n)
	covered := min(a.reserve, n)
	a.reserve -= covered
	inWindow := n
	if silence > b.Window {
		inWindow *= b.Window.Seconds() / silence.Seconds()
	}
	a.spend(n-covered, inWindow)
}

func (a *account) refund(now time.Time, s standing, b Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now, s, b)
	a.charge(originOwn, -1)
	a.refunds[originOwn]++
	a.tokens++
	a.demand[originOwn] = max(a.demand[originOwn]-1, 0)
}

package admission

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the counts by class and key. A busy key stays busy for seconds,
	// and an instance of a large fleet sees few of its requests. How much is wanted in total is
	// known from reports, which are more recent.
	halfLife = 4 * time.Second
	// priorities are told apart up to this number. All lower ones count as one.
	priorities = 8
	// levels are the priorities, each for requests of usual length and long ones.
	levels = 2 * priorities
	// classes are the levels, each for first attempts and returning clients, and each of these
	// within and beyond the fair share of its key.
	classes = 4 * levels
)

// window is the time that the decayed counts cover.
var window = time.Duration(math.Round(float64(halfLife) / math.Ln2))

// class is the rank of a request among those that want the same slots. Lower ones go first.
type class int

// newClass ranks requests beyond the share of their key behind all others, so that a busy key
// costs other keys nothing, and returning clients behind first attempts. Within a priority, long
// requests go behind those that earn as much with less time of a slot.
func newClass(priority int, isLong, isReturn, isExcess bool) class {
	c := 2 * min(max(priority, 0), priorities-1)
	if isLong {
		c++
	}
	if isReturn {
		c += levels
	}
	if isExcess {
		c += 2 * levels
	}
	return class(c)
}

func (c class) isReturn() bool { return c/levels%2 == 1 }
func (c class) isExcess() bool { return c >= 2*levels }

// mix counts the work that this instance was asked to send, in seconds of a slot, with
// exponential decay.
type mix struct {
	work [classes]float64
	sum  float64
	// countedAt is the time that the counts are decayed to.
	countedAt time.Time
}

func (m *mix) decayTo(now time.Time) {
	elapsed := now.Sub(m.countedAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	m.sum = 0
	for i := range m.work {
		m.work[i] *= decay
		m.sum += m.work[i]
	}
	m.countedAt = now
}

func (m *mix) add(c class, work float64) {
	m.work[c] += work
	m.sum += work
}

// demand is what all instances together want of a target, in slots.
type demand struct {
	total float64
	// own is wanted by requests of the class, and before by those that go first.
	own    float64
	before float64
	// first is wanted by first attempts.
	first float64
}

// divide divides a total into classes, as this instance sees them at the target and, where it
// sees few requests there, at all of its service.
func divide(total float64, target, service *mix, c class) demand {
	d := demand{total: total}
	for i := range target.work {
		prior := 0.0
		switch {
		case service.sum > 0:
			prior = service.work[i] / service.sum
		case class(i) == c:
			prior = 1 // no other class is known
		}
		slots := total * (target.work[i] + mixPrior*prior) / (target.sum + mixPrior)
		switch {
		case class(i) < c:
			d.before += slots
		case class(i) == c:
			d.own = slots
		}
		if !class(i).isReturn() {
			d.first += slots
		}
	}
	return d
}

const (
	// mixPrior is the weight of the division of the service's work, as work seen at the target.
	mixPrior = 0.6
	// priorTime is the weight of the assumption that demand equals the capacity, as the time for
	// which it would have been observed, where the reports of other instances are missing.
	priorTime = 300 * time.Millisecond
)

// estimateAlone returns the demand of all instances as estimated from that of this one.
func estimateAlone(m *mix, instances int, capacity float64) float64 {
	return (m.sum*float64(max(instances, 1)) + capacity*priorTime.Seconds()) / (window + priorTime).Seconds()
}

package admission

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of the counts behind the rates of demand. Rates follow a
	// burst within a second, and an instance that serves three requests a second to a server
	// still counts some.
	demandHalfLife = time.Second
	// priorities are told apart up to this number. All lower ones count as one.
	priorities = 8
	// classes are the priorities, each for first attempts and returning clients, and each of
	// these within and beyond the fair share of its key.
	classes = 4 * priorities
)

// window is the time that the decayed counts cover.
var window = time.Duration(math.Round(float64(demandHalfLife) / math.Ln2))

// class is the rank of a request among those that want the same slots. Lower ones go first.
type class int

// newClass ranks requests beyond the share of their key behind all others, so that a busy key
// costs other keys nothing, and returning clients behind first attempts.
func newClass(priority int, isReturn, isExcess bool) class {
	c := min(max(priority, 0), priorities-1)
	if isReturn {
		c += priorities
	}
	if isExcess {
		c += 2 * priorities
	}
	return class(c)
}

func (c class) isReturn() bool { return c/priorities%2 == 1 }

// demand counts the work that this instance was asked to send to one server or service, in
// seconds of a slot, with exponential decay.
type demand struct {
	work    [classes]float64
	refused float64
	// countedAt is the time that the counts are decayed to.
	countedAt time.Time
}

func (d *demand) decayTo(now time.Time) {
	elapsed := now.Sub(d.countedAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	for i := range d.work {
		d.work[i] *= decay
	}
	d.refused *= decay
	d.countedAt = now
}

// rates returns the slots that all instances together want to use for the class and for those
// before it. An instance that sees few requests knows little: its count is moved towards the
// capacity, which is the demand at which nothing needs to be refused.
func (d *demand) rates(c class, instances int, capacity float64) (own, before float64) {
	for i, work := range d.work {
		if class(i) < c {
			before += work
		}
	}
	scale := float64(max(instances, 1)) / (window + priorTime).Seconds()
	prior := capacity * float64(priorTime) / float64(window+priorTime)
	return d.work[c]*scale + prior, before * scale
}

// firstRate returns the slots that first attempts want to use, of all instances together.
func (d *demand) firstRate(instances int) float64 {
	sum := 0.0
	for i, work := range d.work {
		if !class(i).isReturn() {
			sum += work
		}
	}
	return sum * float64(max(instances, 1)) / window.Seconds()
}

// refusedRate returns the slots that refused requests of all instances wanted.
func (d *demand) refusedRate(instances int) float64 {
	return d.refused * float64(max(instances, 1)) / window.Seconds()
}

// priorTime is the weight of the assumption that demand equals the capacity, as the time for
// which it would have been observed.
const priorTime = 300 * time.Millisecond

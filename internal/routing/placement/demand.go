package placement

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the counts of demand: short enough to follow a burst, and
// longer than the reports of other instances take.
const demandHalfLife = time.Second

// demandCounter counts the work that clients want from a server, admitted or not, with
// exponential decay. The zero value is empty.
type demandCounter struct {
	work      float64
	countedAt time.Time
}

func (c *demandCounter) add(now time.Time, work float64) {
	c.work, c.countedAt = c.workAt(now)+work, now
}

func (c *demandCounter) workAt(now time.Time) float64 {
	return c.work * math.Exp2(-float64(now.Sub(c.countedAt))/float64(demandHalfLife))
}

// slotsAt returns the number of slots that the work keeps busy.
func (c *demandCounter) slotsAt(now time.Time) float64 {
	return c.workAt(now) * math.Ln2 / demandHalfLife.Seconds()
}

// CountDemand counts a request that a server may or may not be sent, by the time for which it
// would occupy a slot.
func (e *Estimator) CountDemand(now time.Time, id string, work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(id)
	s.demand.add(now, work.Seconds())
	s.hasUnreported = true
}

// totalDemand returns the slots that the requests of all instances want.
func (s *serverState) totalDemand(now time.Time) float64 {
	sum := s.demand.slotsAt(now)
	for _, r := range s.reports {
		if r.isFresh(now) {
			sum += r.Demand
		}
	}
	return sum
}

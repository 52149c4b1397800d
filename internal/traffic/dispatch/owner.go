package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/admission"
)

// chooseOwner selects the owner of the key. While the key is being reassigned it
// waits for an update of the shard map, at most until the latency objective: a
// rejected client would retry and wait for the same update. With the feature KeyRecovery, only
// requests wait that an owner is expected in time for; the others are told when to return.
func (d *Dispatcher) chooseOwner(ctx context.Context, j *job) (*choice, rejection) {
	for {
		s := d.View.Snapshot()
		now := time.Now()
		c, isOwnerExpected := d.findOwner(s, j, now)
		if c != nil {
			return d.admitOwner(s, j, c, now)
		}
		left := min(j.latencyTarget.Sub(now), j.deadline.Sub(now)-2*d.Estimator.RouteExecutionTime(j.route.Name))
		retryAfter := noOwnerRetryAfter
		if d.features().KeyRecovery {
			expected := d.ownerExpectedIn(s, j, now)
			isOwnerExpected = expected <= left && (isOwnerExpected || expected > 0)
			retryAfter = max(retryAfter, expected)
		}
		if !isOwnerExpected || left <= 0 {
			return nil, rejection{reason: ReasonNoOwner, retryAfter: retryAfter}
		}
		if j.preview != nil {
			j.preview.ownerWait = left
			return nil, rejection{reason: ReasonNoOwner, retryAfter: noOwnerRetryAfter}
		}
		timer := time.NewTimer(min(left, ownerPollInterval))
		select {
		case <-s.Changed:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, rejection{reason: ReasonTimeout}
		}
		j.ownerWait += time.Since(now)
	}
}

// noOwnerRetryAfter is about the time that a handover of keys takes.
const noOwnerRetryAfter = 250 * time.Millisecond

// findOwner returns the server that owns the key. If there is none, it reports
// whether an owner is expected soon.
func (d *Dispatcher) findOwner(s *view.Snapshot, j *job, now time.Time) (*choice, bool) {
	r, found := s.Maps[j.service].Find(j.meta.Key)
	if !found {
		j.noteNoOwner("no owner map names the key")
		return nil, false
	}
	if r.State != shardmap.StateAssigned {
		j.noteNoOwner("the range moves to another server")
		return nil, r.State == shardmap.StateReleased || s.ByID[r.Owner.ID] != nil
	}
	server := s.ByID[r.Owner.ID]
	if server == nil || server.StartedAtMillis != r.Owner.StartedAtMillis {
		j.noteNoOwner("the process that owns the range is not listed")
		return nil, false
	}
	if d.ownerMisses.isExcluded(now, j.service, j.meta.Key, server.ID) {
		j.noteNoOwner("the owner answered a moment ago that it does not hold the key")
		return nil, true
	}
	if d.isLeaveOverdue(s, server, now) {
		j.noteNoOwner("the owner has drained, or its failure domain is evacuated")
		return nil, true
	}
	return d.assess(s, j, server, now), true
}

// admitOwner rejects requests that the owner could not answer in time. No other
// server can run them.
func (d *Dispatcher) admitOwner(s *view.Snapshot, j *job, c *choice, now time.Time) (*choice, rejection) {
	if left := d.backoffs.Left(now, c.server.Process()); left > 0 {
		return nil, rejection{ReasonServerBackoff, left, c}
	}
	if rejected, isAdmitted := d.admit(s, j, c, now); !isAdmitted {
		return nil, rejected
	}
	if c.isOwnerFull() || isOwnerLost(c) || !d.takeWarmupCapacity(s, j, c.server, now) {
		if c.isDecided {
			c.decision.Cause = admission.CauseFull
			return nil, d.rejectByValue(j, c)
		}
		return nil, rejection{ReasonOverload, d.overloadRetryAfter(j, c.estimate.Completion, now), c}
	}
	return c, rejection{}
}

// isOwnerFull reports whether an owner's queue is at its bound, or no connection is available.
func (c *choice) isOwnerFull() bool {
	return !c.hasConnection || c.estimate.QueueLength >= ownerQueuePerSlot*float64(c.server.Slots)
}

// isOwnerLost reports whether an owner of keys serves nobody. One that fails some of its
// requests stays in use, since no other server can run them.
func isOwnerLost(c *choice) bool {
	return c.estimate.IsEjected && c.estimate.Reason != placement.EjectionFailures
}

// isLeaveOverdue reports whether an owner of keys has drained, or its failure domain
// has been evacuated, for so long that its keys should have moved. It then receives
// no more requests.
func (d *Dispatcher) isLeaveOverdue(s *view.Snapshot, server *view.Server, now time.Time) bool {
	if server.Draining && now.Sub(server.DrainingSince) > d.DrainTimeout {
		return true
	}
	since, isEvacuated := s.Evacuated[server.FailureDomain]
	return isEvacuated && now.Sub(since) > d.EvacuateTimeout
}

// ownerMisses records owners that did not hold a key. They get no requests for it
// until their grant has arrived, which saves retry budget.
type ownerMisses struct {
	mu     sync.Mutex
	misses map[missKey]time.Time
}

type missKey struct {
	service string
	server  string
	// block is the number of the block of adjacent keys. Adjacent keys are mostly
	// granted together.
	block int
}

const missBlockSize = 64

func (o *ownerMisses) add(now time.Time, service string, key int, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.misses == nil {
		o.misses = map[missKey]time.Time{}
	}
	for k, at := range o.misses {
		if now.Sub(at) >= ownerMissTTL {
			delete(o.misses, k)
		}
	}
	o.misses[missKey{service, server, key / missBlockSize}] = now
}

func (o *ownerMisses) isExcluded(now time.Time, service string, key int, server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.misses[missKey{service, server, key / missBlockSize}]
	return found && now.Sub(at) < ownerMissTTL
}

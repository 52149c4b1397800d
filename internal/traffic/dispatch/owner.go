package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// chooseOwner takes the owner of the key. While keys change hands it waits for a
// newer map, at most for the latency objective: a client that is sent away would
// have to come back into the same wait.
func (d *Dispatcher) chooseOwner(ctx context.Context, j *job) (*choice, refused) {
	for {
		s := d.View.Snapshot()
		now := time.Now()
		c, isComing := d.owner(s, j, now)
		if c != nil {
			return d.admitOwner(s, j, c, now)
		}
		left := min(j.target.Sub(now), j.deadline.Sub(now)-2*d.Estimator.RouteExecutionTime(j.route.Name))
		if !isComing || left <= 0 {
			return nil, refused{reason: ReasonNoOwner, pause: noOwnerPause}
		}
		timer := time.NewTimer(min(left, ownerPoll))
		select {
		case <-s.Changed:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refused{reason: ReasonTimeout}
		}
		j.waited += time.Since(now)
	}
}

// noOwnerPause is about what it takes to hand keys over.
const noOwnerPause = 250 * time.Millisecond

// owner returns the server that holds the key, or whether one is about to.
func (d *Dispatcher) owner(s *view.Snapshot, j *job, now time.Time) (*choice, bool) {
	r, found := s.Maps[j.service].Find(j.meta.Key)
	if !found {
		return nil, false
	}
	if r.State != shardmap.StateAssigned {
		return nil, r.State == shardmap.StateReleased || s.ByID[r.Owner.ID] != nil
	}
	server := s.ByID[r.Owner.ID]
	if server == nil || server.StartedAtMillis != r.Owner.StartedAtMillis {
		return nil, false
	}
	if d.owners.isResting(now, j.service, j.meta.Key, server.ID) {
		return nil, true
	}
	if d.hasLeft(s, server, now) {
		return nil, true
	}
	return d.assess(s, j, server, now), true
}

// admitOwner refuses what the owner could not answer in time: no other server
// can run the request.
func (d *Dispatcher) admitOwner(s *view.Snapshot, j *job, c *choice, now time.Time) (*choice, refused) {
	isFull := !c.hasConnection || c.estimate.QueueLength >= ownerQueue*float64(c.server.Slots)
	if d.isTooLate(j, c, now) || isFull || c.estimate.IsEjected || !d.takePace(s, c.server, now) {
		return nil, refused{ReasonOverload, d.roomPause(j, c.estimate.Completion, now), c}
	}
	return c, refused{}
}

// hasLeft reports whether an owner of keys must get no requests any more: it
// drains, or its failure domain is taken out, for so long that its keys should
// have moved.
func (d *Dispatcher) hasLeft(s *view.Snapshot, server *view.Server, now time.Time) bool {
	if server.Draining && now.Sub(server.DrainingSince) > d.DrainLimit {
		return true
	}
	since, isEvacuated := s.Evacuated[server.FailureDomain]
	return isEvacuated && now.Sub(since) > d.EvacuateLimit
}

// ownerMisses remembers owners that did not hold a key. It spares them, and the
// budget for repeats, until their grant has arrived.
type ownerMisses struct {
	mu     sync.Mutex
	misses map[missKey]time.Time
}

type missKey struct {
	service string
	server  string
	// block of neighboring keys, which are mostly granted together.
	block int
}

const missBlock = 64

func (o *ownerMisses) miss(now time.Time, service string, key int, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.misses == nil {
		o.misses = map[missKey]time.Time{}
	}
	for k, at := range o.misses {
		if now.Sub(at) >= missRest {
			delete(o.misses, k)
		}
	}
	o.misses[missKey{service, server, key / missBlock}] = now
}

func (o *ownerMisses) isResting(now time.Time, service string, key int, server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.misses[missKey{service, server, key / missBlock}]
	return found && now.Sub(at) < missRest
}

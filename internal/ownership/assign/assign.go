// Package assign decides which backend server owns which keys of one service,
// and which orders that takes. It does no I/O and takes the time as an argument.
package assign

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Timing of grants. Instants are of a clock that counts suspensions.
type Timing struct {
	// GrantTTL of a grant, counted from its arrival at the server.
	GrantTTL time.Duration
	// LeaderLeaseTTL of the leader: a former one may send grants for that long.
	LeaderLeaseTTL time.Duration
	// GrantTimeout after which the connection of a grant is reset.
	GrantTimeout time.Duration
}

const (
	// slowClock is how slow a server's clock may run, by the platform's word.
	slowClock = 0.02
	// holdMargin covers timers that fire late and a thaw of the sender.
	holdMargin = 400 * time.Millisecond
	// renewsPerHold leaves time for two lost renewals and a change of leader.
	renewsPerHold = 4
	// retryGrant is the pause after a grant without an answer.
	retryGrant = 150 * time.Millisecond
	// retryRelease is the pause after a release without an answer.
	retryRelease = 250 * time.Millisecond
	// settleTime is above a heartbeat of the servers.
	settleTime = 1200 * time.Millisecond
	// silentGrants without an answer end the renewals: each one that might have
	// arrived would keep the keys away from others for another hold.
	silentGrants = 3
)

// Server is a backend server as far as ownership is concerned.
type Server struct {
	shardmap.Server
	Address string
	// IsUsable is false while it drains or its failure domain is evacuated.
	IsUsable bool
	IsCold   bool
	// Capacity in requests a second.
	Capacity float64
}

// ClusterState is what decisions are made from.
type ClusterState struct {
	Servers map[string]Server
	// KeyRates of the keys in requests a second.
	KeyRates []float32
}

// CommandKind tells grants from releases.
type CommandKind string

// The kinds of orders.
const (
	CommandGrant   CommandKind = "grant"
	CommandRelease CommandKind = "release"
)

// Command is to be sent to a backend server.
type Command struct {
	Kind     CommandKind
	Address  string
	Owner    shardmap.Server
	Keys     redwingstall.KeyRange
	Fence    int64
	GrantTTL time.Duration
	Handover string
}

func (o Command) key() orderKey { return orderKey{o.Keys, o.Fence, o.Kind} }

type orderKey struct {
	keys  redwingstall.KeyRange
	fence int64
	kind  CommandKind
}

// progress of the orders for one range under one fence.
type progress struct {
	isSent     bool
	isAnswered bool
	isRefused  bool
	isReplaced bool
	sentAt     time.Duration
	endedAt    time.Duration
	silent     int
	handover   string
}

// Result of an order.
type Result struct {
	Handover string
	// IsFenced is a server that has seen a higher token.
	IsFenced bool
	// IsConnectionRefused is a connection that nothing listens to.
	IsConnectionRefused bool
	// IsReplaced is an address at which another server answers now.
	IsReplaced bool
	// IsUnanswered is no answer; the order may be applied later.
	IsUnanswered bool
}

// Assigner holds the owners of one service while its process leads. It is not
// safe for concurrent use.
type Assigner struct {
	timing Timing
	stored shardmap.Map
	orders map[orderKey]*progress
	// holdUntil bounds, for each server, how long any grant may last.
	holdUntil map[string]time.Duration
	// fenced ranges need a new token.
	fenced map[orderKey]bool
	// targets of planned moves, by the fence of their release.
	targets map[int64]string
	// planned is when keys were last moved to even out the load.
	planned time.Duration
	// settledAt is when a former leader is certain to send nothing any more. Until
	// then no keys are handed out: a server that starts anew under its id has
	// forgotten what it released, and would take a late grant of its.
	settledAt time.Duration
	// listed counts the servers while none owns keys yet, since an instant.
	listed      int
	listedSince time.Duration
}

// NewAssigner takes over a map. Whoever led before may have granted any range
// until its lease ran out, even if the store took the lease away early.
func NewAssigner(now time.Duration, timing Timing, stored shardmap.Map) *Assigner {
	a := &Assigner{
		timing:    timing,
		orders:    map[orderKey]*progress{},
		holdUntil: map[string]time.Duration{},
		fenced:    map[orderKey]bool{},
		targets:   map[int64]string{},
	}
	a.Adopt(stored)
	rest := timing.LeaderLeaseTTL + timing.GrantTimeout
	if stored.IsResigned || len(stored.Ranges) == 0 {
		rest = 0
	}
	a.settledAt = now + rest
	for _, r := range stored.Ranges {
		a.holdUntil[r.Owner.ID] = a.settledAt + a.grantBound()
	}
	return a
}

// grantBound is how long after its sending a grant may be in force.
func (a *Assigner) grantBound() time.Duration {
	slow := time.Duration(float64(a.timing.GrantTTL) * slowClock)
	return a.timing.GrantTimeout + a.timing.GrantTTL + slow + holdMargin
}

// Map is the map as stored.
func (a *Assigner) Map() shardmap.Map { return a.stored }

// Adopt takes a map as the one that the store has.
func (a *Assigner) Adopt(stored shardmap.Map) {
	a.stored = stored
	live := map[orderKey]bool{}
	for _, r := range stored.Ranges {
		live[a.order(r, "").key()] = true
	}
	for key, p := range a.orders {
		if !live[key] && !p.isSent {
			delete(a.orders, key)
		}
	}
	for key := range a.fenced {
		if !live[key] {
			delete(a.fenced, key)
		}
	}
}

func (a *Assigner) order(r shardmap.Range, address string) Command {
	o := Command{Kind: CommandGrant, Address: address, Owner: r.Owner, Keys: r.KeyRange, Fence: r.Fence, GrantTTL: a.timing.GrantTTL, Handover: r.Handover}
	if r.State != shardmap.StateAssigned {
		o.Kind = CommandRelease
	}
	return o
}

func (a *Assigner) progress(key orderKey) *progress {
	p := a.orders[key]
	if p == nil {
		p = &progress{}
		a.orders[key] = p
	}
	return p
}

// DueCommands returns what must be sent now. Each is to be followed by Done.
func (a *Assigner) DueCommands(now time.Duration, world ClusterState, addresses map[string]string) []Command {
	due := []Command{}
	for _, r := range a.stored.Ranges {
		address := addresses[r.Owner.ID]
		if address == "" || r.State == shardmap.StateReleased {
			continue
		}
		o := a.order(r, address)
		p := a.progress(o.key())
		if p.isSent || !a.isDue(now, o, p, world) {
			continue
		}
		p.isSent = true
		p.sentAt = now
		if o.Kind == CommandGrant {
			a.holdUntil[r.Owner.ID] = max(a.holdUntil[r.Owner.ID], now+a.grantBound())
		}
		due = append(due, o)
	}
	return due
}

func (a *Assigner) isDue(now time.Duration, o Command, p *progress, world ClusterState) bool {
	if o.Kind == CommandRelease {
		return !p.isAnswered && (p.silent == 0 || now-p.endedAt >= retryRelease)
	}
	s, found := world.Servers[o.Owner.ID]
	if !found || s.StartedAtMillis != o.Owner.StartedAtMillis || a.fenced[o.key()] || p.silent >= silentGrants {
		return false
	}
	if p.silent > 0 {
		return now-p.endedAt >= retryGrant
	}
	return !p.isAnswered || now-p.sentAt >= a.timing.GrantTTL/renewsPerHold
}

// RecordResult notes what became of an order.
func (a *Assigner) RecordResult(now time.Duration, o Command, result Result) {
	p := a.progress(o.key())
	p.isSent = false
	p.endedAt = now
	switch {
	case result.IsFenced:
		a.fenced[o.key()] = true
	case result.IsUnanswered:
		p.silent++
		p.isRefused = result.IsConnectionRefused
		p.isReplaced = result.IsReplaced
	default:
		p.silent = 0
		p.isAnswered = true
		p.handover = result.Handover
	}
}

// Plan returns the map as it should be, and whether it differs from the stored
// one. It must be stored before the orders that follow from it are sent.
func (a *Assigner) Plan(now time.Duration, world ClusterState) (shardmap.Map, bool) {
	draft := a.stored.Clone()
	if len(draft.Ranges) == 0 {
		servers := candidates(world)
		if !a.isSettled(now, len(servers)) {
			return draft, false
		}
		draft.Divide(servers)
		return draft, true
	}
	changed := a.takeBack(now, &draft, world)
	if now >= a.settledAt {
		changed = a.giveOut(now, &draft, world) || changed
		changed = changed || a.level(now, &draft, world)
	}
	if changed {
		a.tidy(&draft)
	}
	return draft, changed
}

// isSettled reports whether no server has joined or left for a while, so that
// the first division is not one among the few that registered first.
func (a *Assigner) isSettled(now time.Duration, servers int) bool {
	if servers != a.listed {
		a.listed = servers
		a.listedSince = now
	}
	return servers > 0 && now-a.listedSince >= settleTime
}

// takeBack starts the release of ranges whose owner must not have them, and
// gives ranges that were fenced off a new token.
func (a *Assigner) takeBack(now time.Duration, draft *shardmap.Map, world ClusterState) bool {
	silent := a.silentOrders()
	mustLeave := func(r shardmap.Range) bool {
		return r.State == shardmap.StateAssigned && (a.mustLeave(now, r, world) || isSilent(r, silent))
	}
	if !slices.ContainsFunc(draft.Ranges, mustLeave) {
		return a.renewFences(draft)
	}
	splitLeaving(draft, world, mustLeave)
	fences := map[shardmap.Server]int64{}
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if !mustLeave(*r) {
			continue
		}
		if fences[r.Owner] == 0 {
			fences[r.Owner] = draft.NextReleaseFence()
		}
		r.Release(fences[r.Owner])
	}
	return true
}

// renewFences gives ranges whose owner has seen a higher token a new one.
func (a *Assigner) renewFences(draft *shardmap.Map) bool {
	changed := false
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if r.State == shardmap.StateAssigned && a.fenced[a.order(*r, "").key()] {
			r.Fence = draft.Fence()
			r.Handover = ""
			changed = true
		}
	}
	return changed
}

// silentOrders are the grants that were sent too often without an answer.
func (a *Assigner) silentOrders() []orderKey {
	silent := []orderKey{}
	for key, p := range a.orders {
		if key.kind == CommandGrant && p.silent >= silentGrants {
			silent = append(silent, key)
		}
	}
	return silent
}

// isSilent reports whether a range, or what it was cut from, was granted in vain.
func isSilent(r shardmap.Range, silent []orderKey) bool {
	return slices.ContainsFunc(silent, func(k orderKey) bool {
		return k.fence == r.Fence && k.keys.From <= r.From && r.To <= k.keys.To
	})
}

// mustLeave reports whether the owner of a range has started anew or is leaving.
// One that leaves serves on as long as its keys could not be handed out.
func (a *Assigner) mustLeave(now time.Duration, r shardmap.Range, world ClusterState) bool {
	s, found := world.Servers[r.Owner.ID]
	if !found || s.StartedAtMillis != r.Owner.StartedAtMillis {
		return true
	}
	return !s.IsUsable && now >= a.settledAt && hasOther(world, r.Owner.ID)
}

// hasOther reports whether anybody else could take keys.
func hasOther(world ClusterState, id string) bool {
	for _, s := range world.Servers {
		if s.IsUsable && s.ID != id {
			return true
		}
	}
	return false
}

// giveOut finds owners for ranges that nobody holds any more.
func (a *Assigner) giveOut(now time.Duration, draft *shardmap.Map, world ClusterState) bool {
	changed := false
	chooser := newChooser(*draft, world)
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if r.State == shardmap.StateReleasing {
			handover, isFree := a.released(now, *r, world)
			if !isFree {
				continue
			}
			r.State, r.Handover = shardmap.StateReleased, handover
			changed = true
		}
		if r.State != shardmap.StateReleased {
			continue
		}
		if target, found := chooser.take(*r, a.targets[r.Fence]); found {
			r.AssignTo(target)
			changed = true
		}
	}
	return changed
}

// tidy forgets the handover of ranges that their owner has taken, merges what
// differs in nothing then, and forgets targets of moves that are over.
func (a *Assigner) tidy(draft *shardmap.Map) {
	moving := map[int64]bool{}
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if r.State != shardmap.StateAssigned {
			moving[r.Fence] = true
		} else if p := a.orders[a.order(*r, "").key()]; p != nil && p.isAnswered {
			r.Handover = ""
		}
	}
	for fence := range a.targets {
		if !moving[fence] {
			delete(a.targets, fence)
		}
	}
	draft.MergeAdjacent()
}

// released reports whether the owner of a range that is taken back holds it no
// more: it said so, or nothing listens at its address and its entry is gone, or
// another server has its address, or every grant that it may have taken has run
// out.
func (a *Assigner) released(now time.Duration, r shardmap.Range, world ClusterState) (handover string, isFree bool) {
	p := a.orders[a.order(r, "").key()]
	if p != nil && p.isAnswered {
		return p.handover, true
	}
	_, isListed := world.Servers[r.Owner.ID]
	if p != nil && (p.isRefused && !isListed || p.isReplaced) {
		return "", true
	}
	return "", now >= a.holdUntil[r.Owner.ID]
}

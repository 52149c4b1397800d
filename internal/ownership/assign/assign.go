// Package assign decides which backend server owns which keys of one service, and which
// commands that requires. It does no I/O and takes the time as an argument.
package assign

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Timing holds the durations that bound the validity of grants. Instants are readings of
// a monotonic clock that includes the time in which the machine is suspended.
type Timing struct {
	// GrantTTL is the time to live of a grant, counted from its arrival at the server.
	GrantTTL time.Duration
	// OutageGrantTTL is that of grants which are sent while the leader's lease cannot be
	// renewed. They last until the store is back and has a leader. Zero means GrantTTL.
	OutageGrantTTL time.Duration
	// LeaderLeaseTTL is the time to live of the leader's lease. A leader may send grants
	// for that long after it was replaced.
	LeaderLeaseTTL time.Duration
	// MaxLeaderLeaseTTL and MaxGrantTTL are the longest times to live that a leader with
	// any settings uses. Zero means those of this leader.
	MaxLeaderLeaseTTL time.Duration
	MaxGrantTTL       time.Duration
	// MaxRenewalsPerSecond is set if grants are to be as short as the number of ranges
	// allows: GrantTTL grows up to LongCalmGrantTTL so that no more renewals are due.
	MaxRenewalsPerSecond float64
	LongCalmGrantTTL     time.Duration
	// GrantTimeout is when the connection of an unanswered grant is reset.
	GrantTimeout time.Duration
}

const (
	// maxClockDrift is how slow a server's clock may run, as a fraction. The platform
	// guarantees it.
	maxClockDrift = 0.02
	// grantExpiryMargin covers timers that fire late, and a sender that was frozen and
	// resumes.
	grantExpiryMargin = 400 * time.Millisecond
	// renewalsPerTTL is how often a grant is renewed within its time to live. It leaves
	// time for two lost renewals and a change of leader.
	renewalsPerTTL = 4
	// shortGrantReserve is what a short grant lasts after two renewal intervals: a lease of
	// 1.5 s, and the time in which the next leader takes over and sends its first grants.
	shortGrantReserve = 2 * time.Second
	// minRenewalsPerTTL bounds the renewal interval of grants that are shorter than that.
	minRenewalsPerTTL = 6
	// outageRenewalInterval is the same while the store is unavailable. A lease of 1.5 s is
	// certain for 0.8 s by then, in which each grant is sent twice.
	outageRenewalInterval = 600 * time.Millisecond
	// grantRetryDelay is the delay before an unanswered grant is retried.
	grantRetryDelay = 150 * time.Millisecond
	// releaseRetryDelay is the delay before an unanswered release is retried for the first
	// time. It doubles up to maxReleaseRetryDelay: a server that has ended never answers,
	// and another one at its address always answers the same.
	releaseRetryDelay    = 250 * time.Millisecond
	maxReleaseRetryDelay = 2 * time.Second
	// membershipSettleTime is how long the number of servers must be stable before the
	// first division. It is longer than the heartbeat interval of the servers.
	membershipSettleTime = 1200 * time.Millisecond
	// maxUnansweredGrants is how many unanswered grants in a row end the renewals: each
	// one that might have arrived would keep the keys from other servers for another
	// time to live.
	maxUnansweredGrants = 3
)

// Server is a backend server as far as the ownership of keys is concerned.
type Server struct {
	shardmap.Server
	Address string
	// IsUsable is false while the server drains or its failure domain is evacuated.
	IsUsable bool
	// IsCold is set while the server warms up.
	IsCold bool
	// Capacity is in requests per second.
	Capacity float64
}

// ClusterState is what decisions are based on: the servers of the service by ID, and the
// rates of its keys.
type ClusterState struct {
	Servers map[string]Server
	// KeyRates are indexed by key, in requests per second.
	KeyRates []float32
	// EvenLoad is set if keys are rebalanced for load that changes within seconds.
	EvenLoad bool
	// IsStoreUnavailable is set while the leader's lease cannot be renewed.
	IsStoreUnavailable bool
}

// CommandKind is the kind of a command.
type CommandKind string

// The kinds of commands.
const (
	CommandGrant   CommandKind = "grant"
	CommandRelease CommandKind = "release"
)

// Command is a grant or a release to be sent to a backend server.
type Command struct {
	Kind     CommandKind
	Address  string
	Owner    shardmap.Server
	Keys     redwingstall.KeyRange
	Fence    int64
	GrantTTL time.Duration
	Handover string
}

func (c Command) key() commandKey { return commandKey{c.Keys, c.Fence, c.Kind} }

type commandKey struct {
	keys  redwingstall.KeyRange
	fence int64
	kind  CommandKind
}

// commandProgress tracks one command, that is the grant or release of one range under
// one fencing token.
type commandProgress struct {
	owner      string
	isInFlight bool
	isAnswered bool
	sentAt     time.Duration
	// grantTTL is that of the grant sent last. It is zero for releases.
	grantTTL   time.Duration
	endedAt    time.Duration
	unanswered int
	handover   string
	// address and process are those of the server as listed when the command was last sent.
	address string
	process shardmap.Server
}

// Result is the result of one attempt to send a command.
type Result struct {
	// Handover is what the server returned on release.
	Handover string
	// IsFenced is set if the server has seen a higher fencing token.
	IsFenced bool
	// IsUnanswered is set if there was no valid answer, or another server gave it. The
	// command may still be applied later, unless IsUnsent is set too.
	IsUnanswered bool
	// IsReplaced is set if the server process has ended for certain, because another one has
	// taken over its address. It answered a release in the former one's place.
	IsReplaced bool
	// IsUnsent is set if no connection was established, so that the command has no effect.
	IsUnsent bool
}

// Assigner decides the owners of one service while its instance leads. It is not safe
// for concurrent use.
type Assigner struct {
	timing   Timing
	stored   shardmap.Map
	commands map[commandKey]*commandProgress
	// grantsExpireAt is, for each server, when all grants sent to it are certain to have
	// expired, but for those in flight.
	grantsExpireAt map[string]time.Duration
	// releaseEnds holds, by the fencing token of a stored release, when all grants of its
	// range are certain to have expired. No grant of it was sent since its write began.
	releaseEnds map[int64]time.Duration
	// withheld are the keys that are released by a write that was begun and may still take
	// effect. No grant of them may be sent: who reads the written map relies on that.
	withheld []redwingstall.KeyRange
	// fencedOff holds the grants that a server rejected because it has seen a higher
	// fencing token. Their ranges need a new token.
	fencedOff map[commandKey]bool
	// moveTargets are the target servers of planned moves, by the fencing token of the
	// release.
	moveTargets map[int64]string
	// rebalancedAt is when the last rebalancing ran.
	rebalancedAt time.Duration
	// predecessorDoneAt is when a previous leader is certain to send no more commands.
	// Until then no keys are assigned: a server that restarted under its ID has
	// forgotten what it released, and would accept a late grant of the previous leader.
	predecessorDoneAt time.Duration
	// predecessorGrantTTL is that of the longest grant that an earlier leader may have sent.
	predecessorGrantTTL time.Duration
	// candidateCount is the number of candidates for the first division. It has been the
	// same since candidateCountSince.
	candidateCount      int
	candidateCountSince time.Duration
}

// NewAssigner takes over a stored map. Unless the previous leader resigned, it may have
// granted any range until its lease expired, even if the store ended the lease early.
func NewAssigner(now time.Duration, timing Timing, stored shardmap.Map) *Assigner {
	a := &Assigner{
		timing:         timing,
		commands:       map[commandKey]*commandProgress{},
		grantsExpireAt: map[string]time.Duration{},
		releaseEnds:    map[int64]time.Duration{},
		fencedOff:      map[commandKey]bool{},
		moveTargets:    map[int64]string{},
	}
	lease, longest := timing.predecessorTTLs(stored)
	wait := max(lease+timing.GrantTimeout, withDrift(stored.PredecessorsWithin))
	switch {
	case len(stored.Ranges) == 0:
		wait = 0
	case stored.IsResigned:
		// The leader that resigned sends nothing more, but those before it may.
		wait = withDrift(stored.PredecessorsWithin)
	}
	a.predecessorDoneAt = now + wait
	if len(stored.Ranges) > 0 {
		a.predecessorGrantTTL = longest
	}
	for _, r := range stored.Ranges {
		a.grantsExpireAt[r.Owner.ID] = a.predecessorDoneAt + a.timing.maxGrantLifetime(longest)
	}
	a.Adopt(stored)
	observed := ReleaseHistory{}
	observed.Observe(now, stored)
	a.RecallReleases(observed)
	a.stored.IsResigned = false // the mark was the previous leader's
	return a
}

// predecessorTTLs returns the times to live of the lease of the leader that wrote a map, and
// of the longest grant that it or an earlier one may have sent.
func (t Timing) predecessorTTLs(stored shardmap.Map) (lease, longestGrant time.Duration) {
	lease, longestGrant = stored.LeaderLease, stored.LongestGrant
	if lease == 0 {
		lease = t.maxLeaderLeaseTTL()
	}
	if longestGrant == 0 {
		longestGrant = t.maxGrantTTL()
	}
	return lease, longestGrant
}

func (t Timing) maxLeaderLeaseTTL() time.Duration { return max(t.MaxLeaderLeaseTTL, t.LeaderLeaseTTL) }

func (t Timing) maxGrantTTL() time.Duration { return max(t.MaxGrantTTL, t.longestGrantTTL()) }

// withDrift returns how long a duration on the clock of another instance may take on this one.
func withDrift(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*maxClockDrift)
}

// maxGrantLifetime is the maximum time between sending a grant and its expiry.
func (t Timing) maxGrantLifetime(ttl time.Duration) time.Duration {
	drift := time.Duration(float64(ttl) * maxClockDrift)
	return t.GrantTimeout + ttl + drift + grantExpiryMargin
}

func (t Timing) longestGrantTTL() time.Duration {
	return max(t.GrantTTL, t.LongCalmGrantTTL, t.OutageGrantTTL)
}

// grantTTL returns the time to live of the grants that are sent now, for a number of ranges.
func (t Timing) grantTTL(cluster ClusterState, ranges int) time.Duration {
	switch {
	case cluster.IsStoreUnavailable:
		return t.longestGrantTTL()
	case t.MaxRenewalsPerSecond == 0:
		return t.GrantTTL
	}
	interval := time.Duration(float64(ranges) / t.MaxRenewalsPerSecond * float64(time.Second))
	return min(max(t.GrantTTL, 2*interval+shortGrantReserve), t.LongCalmGrantTTL)
}

// renewalInterval returns when a grant is renewed after it was sent.
func (t Timing) renewalInterval(ttl time.Duration, cluster ClusterState) time.Duration {
	switch {
	case t.MaxRenewalsPerSecond == 0:
		return ttl / renewalsPerTTL
	case cluster.IsStoreUnavailable:
		return outageRenewalInterval
	}
	return max((ttl-shortGrantReserve)/2, ttl/minRenewalsPerTTL)
}

// ContinueUnder goes on under another lease of the same leader.
func (a *Assigner) ContinueUnder(leaseTTL time.Duration) {
	a.timing.LeaderLeaseTTL = max(a.timing.LeaderLeaseTTL, leaseTTL)
}

// Map returns the map as stored.
func (a *Assigner) Map() shardmap.Map { return a.stored }

// Adopt takes a map as the stored one, and drops the progress of commands that the map
// does not need. No write that was begun before may take effect any more.
func (a *Assigner) Adopt(stored shardmap.Map) {
	a.stored = stored
	a.withheld = nil
	a.updateReleaseEnds()
	current := map[commandKey]bool{}
	for _, r := range stored.Ranges {
		current[a.command(r, "").key()] = true
	}
	for key, p := range a.commands {
		if !current[key] && !p.isInFlight {
			delete(a.commands, key)
		}
	}
	for key := range a.fencedOff {
		if !current[key] {
			delete(a.fencedOff, key)
		}
	}
}

func (a *Assigner) command(r shardmap.Range, address string) Command {
	c := Command{Kind: CommandGrant, Address: address, Owner: r.Owner, Keys: r.KeyRange, Fence: r.Fence, Handover: r.Handover}
	if r.State != shardmap.StateAssigned {
		c.Kind = CommandRelease
	}
	return c
}

func (a *Assigner) progressOf(key commandKey) *commandProgress {
	p := a.commands[key]
	if p == nil {
		p = &commandProgress{}
		a.commands[key] = p
	}
	return p
}

// DueCommands returns the commands to be sent at once, and marks them as in flight. The
// caller must pass the result of each to RecordResult.
func (a *Assigner) DueCommands(now time.Duration, cluster ClusterState, addresses map[string]string) []Command {
	due := []Command{}
	grantTTL := a.timing.grantTTL(cluster, len(a.stored.Ranges))
	for _, r := range a.commandRanges() {
		address := addresses[r.Owner.ID]
		if address == "" || r.State == shardmap.StateReleased {
			continue
		}
		c := a.command(r, address)
		p := a.progressOf(c.key())
		if p.isInFlight || !a.isDue(now, c, p, cluster, grantTTL) {
			continue
		}
		p.isInFlight = true
		p.sentAt = now
		p.owner = r.Owner.ID
		p.address, p.process = address, cluster.Servers[r.Owner.ID].Server
		if c.Kind == CommandGrant {
			c.GrantTTL = grantTTL
			p.grantTTL = c.GrantTTL
		}
		due = append(due, c)
	}
	return due
}

func (a *Assigner) isDue(now time.Duration, c Command, p *commandProgress, cluster ClusterState, grantTTL time.Duration) bool {
	if c.Kind == CommandRelease {
		return p.isReleaseDue(now, c.Address, cluster.Servers[c.Owner.ID].Server)
	}
	s, found := cluster.Servers[c.Owner.ID]
	if !found || s.StartedAtMillis != c.Owner.StartedAtMillis || a.fencedOff[c.key()] || p.unanswered >= maxUnansweredGrants {
		return false
	}
	if p.unanswered > 0 {
		return now-p.endedAt >= grantRetryDelay
	}
	isOutage := cluster.IsStoreUnavailable && p.grantTTL < grantTTL
	return !p.isAnswered || isOutage || now-p.sentAt >= a.timing.renewalInterval(p.grantTTL, cluster)
}

// isReleaseDue reports whether a release that is not in flight is to be sent to a server as it
// is listed now. A new process or address is asked at once.
func (p *commandProgress) isReleaseDue(now time.Duration, address string, process shardmap.Server) bool {
	switch {
	case p.isAnswered:
		return false
	case p.unanswered == 0 || p.address != address || p.process != process:
		return true
	}
	return now-p.endedAt >= p.releaseRetryDelay()
}

func (p *commandProgress) releaseRetryDelay() time.Duration {
	delay := releaseRetryDelay
	for n := 1; n < p.unanswered && delay < maxReleaseRetryDelay; n++ {
		delay *= 2
	}
	return min(delay, maxReleaseRetryDelay)
}

// BeginSend reports whether a command from DueCommands may still be sent. It must be called
// immediately before the command is sent. If it returns false, the command has no result.
func (a *Assigner) BeginSend(now time.Duration, c Command) bool {
	p := a.progressOf(c.key())
	if c.Kind == CommandGrant && !a.mayGrant(c) {
		p.isInFlight = false
		return false
	}
	p.sentAt = now
	return true
}

// RecordResult records the result of a command in flight.
func (a *Assigner) RecordResult(now time.Duration, c Command, result Result) {
	p := a.progressOf(c.key())
	p.record(now, result)
	if c.Kind == CommandGrant && !result.IsUnsent {
		a.grantsExpireAt[c.Owner.ID] = max(a.grantsExpireAt[c.Owner.ID], p.sentAt+a.timing.maxGrantLifetime(p.grantTTL))
	}
	if result.IsFenced {
		a.fencedOff[c.key()] = true
	}
}

func (p *commandProgress) record(now time.Duration, result Result) {
	p.isInFlight = false
	p.endedAt = now
	switch {
	case result.IsFenced:
	case result.IsReplaced:
		// A process that has ended holds no keys, and left no handover.
		p.unanswered, p.isAnswered = 0, true
	case result.IsUnanswered:
		p.unanswered++
	default:
		p.unanswered = 0
		p.isAnswered = true
		p.handover = result.Handover
	}
}

// HasCommandInFlight reports whether a command has no result yet.
func (a *Assigner) HasCommandInFlight() bool {
	for _, p := range a.commands {
		if p.isInFlight {
			return true
		}
	}
	return false
}

// Plan returns the map as it should be, and whether it differs from the stored one. The
// caller must store it before it sends the commands that follow from it.
func (a *Assigner) Plan(now time.Duration, cluster ClusterState) (shardmap.Map, bool) {
	draft := a.stored.Clone()
	if len(draft.Ranges) == 0 {
		servers := candidates(cluster)
		if !a.isMembershipStable(now, len(servers)) {
			return draft, false
		}
		draft.Divide(servers)
		a.SetEnds(now, &draft)
		return draft, true
	}
	changed := a.startReleases(now, &draft, cluster)
	changed = a.assignReleased(now, &draft, cluster) || changed
	if now >= a.predecessorDoneAt {
		changed = changed || a.rebalance(now, &draft, cluster)
	}
	if changed {
		a.compact(&draft)
	}
	a.SetEnds(now, &draft)
	return draft, changed
}

// isMembershipStable reports whether the number of candidates has not changed for a
// while. Otherwise the first division would be among the few servers that registered
// first.
func (a *Assigner) isMembershipStable(now time.Duration, count int) bool {
	if count != a.candidateCount {
		a.candidateCount = count
		a.candidateCountSince = now
	}
	return count > 0 && now-a.candidateCountSince >= membershipSettleTime
}

// startReleases starts the release of ranges whose owner must not keep them. If there
// are none, it gives ranges whose grant was fenced off a new token.
func (a *Assigner) startReleases(now time.Duration, draft *shardmap.Map, cluster ClusterState) bool {
	unanswered := a.unansweredGrants()
	mustRelease := func(r shardmap.Range) bool {
		return r.State == shardmap.StateAssigned && (a.hasUnusableOwner(now, r, cluster) || isGrantUnanswered(r, unanswered))
	}
	if !slices.ContainsFunc(draft.Ranges, mustRelease) {
		return a.renewFences(draft)
	}
	splitReleased(draft, cluster, mustRelease)
	fences := map[shardmap.Server]int64{}
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if !mustRelease(*r) {
			continue
		}
		if fences[r.Owner] == 0 {
			fences[r.Owner] = draft.NextReleaseFence()
		}
		r.Release(fences[r.Owner])
	}
	return true
}

// renewFences gives ranges whose owner has seen a higher fencing token a new one.
func (a *Assigner) renewFences(draft *shardmap.Map) bool {
	changed := false
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if r.State == shardmap.StateAssigned && a.fencedOff[a.command(*r, "").key()] {
			r.Fence = draft.NextFence()
			r.Handover = ""
			changed = true
		}
	}
	return changed
}

// unansweredGrants returns the grants whose renewals ended for lack of an answer.
func (a *Assigner) unansweredGrants() []commandKey {
	unanswered := []commandKey{}
	for key, p := range a.commands {
		if key.kind == CommandGrant && p.unanswered >= maxUnansweredGrants {
			unanswered = append(unanswered, key)
		}
	}
	return unanswered
}

// isGrantUnanswered reports whether the grant of a range, or of the range that it was
// split from, is one of the unanswered ones.
func isGrantUnanswered(r shardmap.Range, unanswered []commandKey) bool {
	return slices.ContainsFunc(unanswered, func(k commandKey) bool {
		return k.fence == r.Fence && k.keys.From <= r.From && r.To <= k.keys.To
	})
}

// hasUnusableOwner reports whether the owner of a range is not listed, has restarted or
// is leaving. A leaving owner keeps serving while its keys could not be assigned to
// another server.
func (a *Assigner) hasUnusableOwner(now time.Duration, r shardmap.Range, cluster ClusterState) bool {
	s, found := cluster.Servers[r.Owner.ID]
	if !found || s.StartedAtMillis != r.Owner.StartedAtMillis {
		return true
	}
	return !s.IsUsable && now >= a.predecessorDoneAt && hasOtherUsableServer(cluster, r.Owner.ID)
}

// hasOtherUsableServer reports whether any other server could take over keys.
func hasOtherUsableServer(cluster ClusterState, id string) bool {
	for _, s := range cluster.Servers {
		if s.IsUsable && s.ID != id {
			return true
		}
	}
	return false
}

// assignReleased assigns new owners to ranges that no server holds.
func (a *Assigner) assignReleased(now time.Duration, draft *shardmap.Map, cluster ClusterState) bool {
	changed := false
	chooser := newTargetChooser(*draft, cluster)
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if r.State == shardmap.StateReleasing {
			handover, isReleased := a.releaseOutcome(now, *r)
			if !isReleased {
				continue
			}
			r.State, r.Handover = shardmap.StateReleased, handover
			changed = true
		}
		if r.State != shardmap.StateReleased {
			continue
		}
		if target, found := chooser.assign(*r, a.moveTargets[r.Fence]); found {
			r.AssignTo(target)
			changed = true
		}
	}
	return changed
}

// compact clears the handover of ranges whose owner has accepted the grant, merges
// ranges that are equal then, and drops the targets of moves that are over.
func (a *Assigner) compact(draft *shardmap.Map) {
	moving := map[int64]bool{}
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if r.State != shardmap.StateAssigned {
			moving[r.Fence] = true
		} else if p := a.commands[a.command(*r, "").key()]; p != nil && p.isAnswered {
			r.Handover = ""
		}
	}
	for fence := range a.moveTargets {
		if !moving[fence] {
			delete(a.moveTargets, fence)
		}
	}
	draft.MergeAdjacent()
}

// releaseOutcome reports whether the owner of a range that is being released certainly
// does not hold it, and the handover. That is so if the owner, or its next process under the
// same ID, has confirmed the release, or if every grant that it may have accepted has
// expired. Nothing else proves that an owner has ended: while a partition separates it from
// this instance and the store, its connections may be refused and its entry expires, but
// others still send it requests.
//
// A confirmation counts only once a previous leader can send no more grants: a server that
// confirmed and then restarted accepts them. The expiry includes all grants of that leader.
func (a *Assigner) releaseOutcome(now time.Duration, r shardmap.Range) (handover string, isReleased bool) {
	p := a.commands[a.command(r, "").key()]
	if p != nil && p.isAnswered && now >= a.predecessorDoneAt {
		return p.handover, true
	}
	return "", now >= a.releaseEnd(r)
}

// lastGrantExpiry returns when all grants of a server are certain to have expired.
func (a *Assigner) lastGrantExpiry(server string) time.Duration {
	last := a.grantsExpireAt[server]
	for key, p := range a.commands {
		if key.kind == CommandGrant && p.isInFlight && p.owner == server {
			last = max(last, p.sentAt+a.timing.maxGrantLifetime(p.grantTTL))
		}
	}
	return last
}

package assign

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// allKeys are the keys of a service.
var allKeys = redwingstall.KeyRange{From: 0, To: redwingstall.KeyCount - 1}

// Recovery replaces the owner map of a service that the store has lost. An earlier map
// may be known, but keys may have moved since. It makes every server that may hold keys
// release all of them, or waits until all grants have expired, and then returns the keys
// to their last known owners under new fencing tokens. It is not safe for concurrent use.
type Recovery struct {
	timing Timing
	// last is the latest known map. It issues the fencing tokens.
	last shardmap.Map
	// releaseFrom is when the leaders of the earlier era are certain to send no more
	// commands, and expiredAt when their grants are certain to have expired.
	releaseFrom time.Duration
	expiredAt   time.Duration
	// knowsHolders is set if each server that may hold keys is known.
	knowsHolders bool
	// holders are the servers that may hold keys, by ID.
	holders map[string]*possibleHolder
}

// possibleHolder is a server that may hold keys, and the progress of its release.
type possibleHolder struct {
	server  shardmap.Server
	address string
	fence   int64
	release commandProgress
}

// NewRecovery starts a recovery. The earlier leaders were confirmed for the last time
// before eraBeganAt. With knowsHolders, the addresses passed to DueCommands include each
// server to which they may have granted keys.
func NewRecovery(eraBeganAt time.Duration, timing Timing, last shardmap.Map, knowsHolders bool) *Recovery {
	releaseFrom := eraBeganAt + timing.maxLeaderLeaseTTL() + timing.GrantTimeout
	return &Recovery{
		timing: timing, last: last.Clone(), releaseFrom: releaseFrom, expiredAt: releaseFrom + timing.maxGrantLifetime(timing.maxGrantTTL()),
		knowsHolders: knowsHolders, holders: map[string]*possibleHolder{},
	}
}

// HolderMemory is how long a server may hold keys after an earlier leader last had it
// listed. An instance that has known all servers for that long knows all holders.
func (t Timing) HolderMemory() time.Duration {
	return t.maxLeaderLeaseTTL() + t.GrantTimeout + t.maxGrantLifetime(t.maxGrantTTL())
}

// DueCommands returns the releases to be sent at once, and marks them as in flight. The
// caller must pass the result of each to RecordResult. The addresses are those of all
// servers that were listed recently, by ID.
func (r *Recovery) DueCommands(now time.Duration, cluster ClusterState, addresses map[string]string) []Command {
	r.updateHolders(cluster, addresses)
	due := []Command{}
	if now < r.releaseFrom {
		return due
	}
	for _, id := range slices.Sorted(maps.Keys(r.holders)) {
		h := r.holders[id]
		p := &h.release
		if h.address == "" || p.isInFlight || !p.isReleaseDue(now, h.address, h.server) {
			continue
		}
		p.isInFlight, p.sentAt, p.address, p.process = true, now, h.address, h.server
		due = append(due, Command{Kind: CommandRelease, Address: h.address, Owner: h.server, Keys: allKeys, Fence: h.fence})
	}
	return due
}

// updateHolders adds the servers that may hold keys, and updates their addresses.
func (r *Recovery) updateHolders(cluster ClusterState, addresses map[string]string) {
	for _, g := range r.last.Ranges {
		r.addHolder(g.Owner)
	}
	for _, id := range slices.Sorted(maps.Keys(addresses)) {
		h := r.addHolder(shardmap.Server{ID: id})
		h.setProcess(h.server, addresses[id])
	}
	for _, id := range slices.Sorted(maps.Keys(cluster.Servers)) {
		s := cluster.Servers[id]
		r.addHolder(s.Server).setProcess(s.Server, s.Address)
	}
}

func (r *Recovery) addHolder(server shardmap.Server) *possibleHolder {
	h := r.holders[server.ID]
	if h == nil {
		h = &possibleHolder{server: server, fence: r.last.NextReleaseFence()}
		r.holders[server.ID] = h
	}
	return h
}

// setProcess updates the process and the address of the server. What was answered at another
// address says nothing about it.
func (h *possibleHolder) setProcess(server shardmap.Server, address string) {
	if h.address != "" && h.address != address {
		h.release = commandProgress{}
	}
	h.server, h.address = server, address
}

// isReleased reports whether the server has confirmed that it holds no keys.
func (h *possibleHolder) isReleased() bool { return h.release.isAnswered }

// BeginSend reports whether a command from DueCommands may still be sent. Releases may.
func (r *Recovery) BeginSend(time.Duration, Command) bool { return true }

// RecordResult records the result of a command in flight.
func (r *Recovery) RecordResult(now time.Duration, c Command, result Result) {
	// What the store listed before it went back to an older copy is no evidence.
	result.IsReplaced = false
	if h := r.holders[c.Owner.ID]; h != nil && h.address == c.Address {
		h.release.record(now, result)
	}
}

// IsDone reports whether no server holds keys of an earlier leader any more.
func (r *Recovery) IsDone(now time.Duration) bool {
	if now >= r.expiredAt {
		return true
	}
	if now < r.releaseFrom || !r.knowsHolders || len(r.holders) == 0 {
		return false
	}
	for _, h := range r.holders {
		if !h.isReleased() {
			return false
		}
	}
	return true
}

// Unreleased returns the IDs of the servers that have not released their keys yet.
func (r *Recovery) Unreleased() []string {
	ids := []string{}
	for _, id := range slices.Sorted(maps.Keys(r.holders)) {
		if !r.holders[id].isReleased() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Assigner returns an assigner that returns the keys to their last known owners, as far as
// these may take keys. It must be called only once the recovery is done.
func (r *Recovery) Assigner(now time.Duration) *Assigner {
	// The tokens are above those of the releases, which each server has seen for all keys.
	fences := map[string]int64{}
	for i := range r.last.Ranges {
		g := &r.last.Ranges[i]
		if fences[g.Owner.ID] == 0 {
			fences[g.Owner.ID] = r.last.NextReleaseFence()
		}
		g.State, g.Fence, g.Handover = shardmap.StateReleased, fences[g.Owner.ID], r.addHolder(g.Owner).release.handover
	}
	r.last.IsResigned = true // no earlier leader acts any more
	a := NewAssigner(now, r.timing, r.last)
	for _, g := range r.last.Ranges {
		a.moveTargets[g.Fence] = g.Owner.ID
	}
	return a
}

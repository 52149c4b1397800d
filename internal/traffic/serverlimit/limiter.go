package serverlimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
)

const (
	// suspicionTime is how long an instance that did not answer is not asked again.
	suspicionTime = time.Second
	// takeoverShare is the share of a limit that the second instance grants while the first
	// one may still grant all of it to others.
	takeoverShare = 0.5
	// isolatedShare is the share of a limit that all instances use together that reach no
	// coordinator.
	isolatedShare = 0.5
)

// Query asks another instance for a permit.
type Query struct {
	// Limit is what the asking instance knows.
	Limit   Limit
	MaxWait time.Duration
	// IsForwarded is set if another instance was asked first.
	IsForwarded bool
}

// Reply answers a query.
type Reply struct {
	Permit
	// Limit is what the coordinator knows.
	Limit Limit
}

// Transport sends queries to other instances.
type Transport interface {
	// Ask returns the reply of an instance, or an error if there is none in time.
	Ask(ctx context.Context, instance string, query Query) (Reply, error)
}

// Instances are the live instances as one of them knows them. It is immutable.
type Instances struct {
	Names []string
	// Version differs for different names.
	Version int64
}

// Limiter admits requests to servers with a limit for all instances together. For each
// server one instance, its coordinator, grants the permits of all. It is chosen by
// rendezvous hashing over the instances. While it does not answer, the second choice grants
// half of the limit. An instance that reaches none of them uses a small share by itself.
// Limiter is safe for concurrent use.
type Limiter struct {
	Self      string
	Table     *Table
	Instances func() Instances
	Transport Transport
	// Count counts an event.
	Count func(name string)
	Log   *slog.Logger

	coordinator Coordinator
	// isolated grants the permits of this instance while it reaches no coordinator.
	isolated Coordinator

	mu sync.Mutex
	// ranked are the coordinators by server, for one version of the instances.
	ranked        map[string][]string
	rankedVersion int64
	suspectedTo   map[string]time.Time
	fullUntil     map[shardmap.Server]time.Time
}

// Acquire asks for a permit to send a request to a server within maxWait. A server
// without a limit needs none.
func (l *Limiter) Acquire(ctx context.Context, server shardmap.Server, maxWait time.Duration) Permit {
	limit := l.Table.Find(server)
	if !limit.IsActive() {
		return Permit{IsGranted: true}
	}
	permit := l.acquire(ctx, limit, maxWait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fullUntil == nil {
		l.fullUntil = map[shardmap.Server]time.Time{}
	}
	l.fullUntil[server] = time.Now().Add(permit.FreeIn)
	return permit
}

// HasRoom reports whether the server may have a permit within maxWait, as far as this
// instance knows without asking.
func (l *Limiter) HasRoom(now time.Time, server shardmap.Server, maxWait time.Duration) bool {
	if !l.Table.Find(server).IsActive() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.fullUntil[server].After(now.Add(maxWait))
}

// FreeIn returns when a server may have a permit again, as far as this instance knows, or
// zero if it may have one now.
func (l *Limiter) FreeIn(now time.Time, server shardmap.Server) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.fullUntil[server].Sub(now), 0)
}

func (l *Limiter) acquire(ctx context.Context, limit Limit, maxWait time.Duration) Permit {
	instances := l.Instances()
	query := Query{Limit: limit, MaxWait: maxWait}
	for _, name := range l.coordinators(limit.Server.ID, instances) {
		if name == l.Self {
			return l.grant(ctx, query).Permit
		}
		if reply, isAnswered := l.ask(ctx, name, query); isAnswered {
			return reply.Permit
		}
		if ctx.Err() != nil {
			return Permit{}
		}
	}
	if len(instances.Names) == 0 {
		l.Count("serverLimits.noInstances")
		return Permit{Wait: suspicionTime}
	}
	l.Count("serverLimits.isolated")
	return l.isolated.Reserve(time.Now(), limit, isolatedShare/float64(len(instances.Names)), maxWait)
}

// ask asks an instance, unless it has not answered a moment ago.
func (l *Limiter) ask(ctx context.Context, name string, query Query) (Reply, bool) {
	if l.isSuspected(name) {
		return Reply{}, false
	}
	reply, err := l.Transport.Ask(ctx, name, query)
	if err != nil {
		if ctx.Err() == nil {
			l.suspect(name, err)
		}
		return Reply{}, false
	}
	l.Table.Merge(reply.Limit)
	return reply, true
}

// Answer answers the query of another instance.
func (l *Limiter) Answer(ctx context.Context, query Query) Reply {
	l.Table.Merge(query.Limit)
	query.Limit = l.Table.Find(query.Limit.Server)
	if !query.Limit.IsActive() {
		return Reply{Permit: Permit{IsGranted: true}, Limit: query.Limit}
	}
	return l.grant(ctx, query)
}

// grant grants a permit as the coordinator. If another instance is the first choice, that
// one is asked, which the asking instance may not reach or not know.
func (l *Limiter) grant(ctx context.Context, query Query) Reply {
	share := 1.0
	ranked := l.coordinators(query.Limit.Server.ID, l.Instances())
	if isOther := len(ranked) > 0 && ranked[0] != l.Self; isOther && !query.IsForwarded {
		if reply, isAnswered := l.ask(ctx, ranked[0], Query{Limit: query.Limit, MaxWait: query.MaxWait, IsForwarded: true}); isAnswered {
			return reply
		}
		l.Count("serverLimits.takeovers")
		share = takeoverShare
	}
	return Reply{Permit: l.coordinator.Reserve(time.Now(), query.Limit, share, query.MaxWait), Limit: query.Limit}
}

// NeedsOthers reports whether the answer to a query depends on other instances.
func (l *Limiter) NeedsOthers(query Query) bool {
	ranked := l.coordinators(query.Limit.Server.ID, l.Instances())
	return !query.IsForwarded && len(ranked) > 0 && ranked[0] != l.Self
}

// coordinators returns the first and the second choice for the coordinator of a server.
func (l *Limiter) coordinators(server string, instances Instances) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ranked == nil || l.rankedVersion != instances.Version {
		l.ranked, l.rankedVersion = map[string][]string{}, instances.Version
	}
	ranked, isKnown := l.ranked[server]
	if !isKnown {
		ranked = pace.HighestRanked(server, instances.Names, 2)
		l.ranked[server] = ranked
	}
	return ranked
}

func (l *Limiter) isSuspected(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.suspectedTo[name])
}

func (l *Limiter) suspect(name string, cause error) {
	l.Count("serverLimits.unanswered")
	l.Log.Warn("coordinator of limited servers does not answer", "peer", name, "askedAgainAfter", suspicionTime.String(), "error", cause.Error())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspectedTo == nil {
		l.suspectedTo = map[string]time.Time{}
	}
	l.suspectedTo[name] = time.Now().Add(suspicionTime)
}

// RemoveUnlisted removes servers that are not listed.
func (l *Limiter) RemoveUnlisted(isListed func(id string) bool) {
	l.Table.RemoveUnlisted(isListed)
	l.coordinator.RemoveUnlisted(isListed)
	l.isolated.RemoveUnlisted(isListed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for server := range l.fullUntil {
		if !isListed(server.ID) {
			delete(l.fullUntil, server)
		}
	}
}

package leader

import (
	"bytes"
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/presence"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// storedMap is the owner map of a service as stored in the current era.
type storedMap struct {
	shardmap.Map
	// position has a zero revision if the era has no map.
	position redwingstall.Position
	// superseded are the keys of the maps of earlier eras.
	superseded []string
}

func (l *Leader) readMap(ctx context.Context, name string) (storedMap, error) {
	items, at, err := l.Store.Range(ctx, view.MapPrefix)
	if err != nil {
		return storedMap{}, err
	}
	stored := storedMap{position: redwingstall.Position{Era: at.Era}}
	for _, i := range items {
		era, service := view.ParseMapKey(i.Key)
		switch {
		case service != name:
		case era < at.Era:
			stored.superseded = append(stored.superseded, i.Key)
		case era == at.Era:
			stored.position.Revision = i.Revision
			stored.Map, err = shardmap.Decode(i.Value)
		}
	}
	return stored, err
}

// writeMap replaces the map that is stored at a position, and returns the new position.
func (l *Leader) writeMap(ctx context.Context, name string, stored redwingstall.Position, m shardmap.Map, superseded []string) (redwingstall.Position, error) {
	key := view.MapKey(stored.Era, name)
	revision, err := l.Store.Commit(ctx, redwingstall.Transaction{
		Era:    stored.Era,
		Expect: []redwingstall.Expectation{{Key: key, Revision: stored.Revision}},
		Writes: []redwingstall.Item{{Key: key, Value: m.Encode()}},
		Remove: superseded,
	})
	return redwingstall.Position{Era: stored.Era, Revision: revision}, err
}

// takeOver starts to lead a service. It returns false if that has to be tried again.
func (l *Leader) takeOver(ctx context.Context, held redwingstall.Lease, name string) bool {
	stored, err := l.readMap(ctx, name)
	switch {
	case err != nil:
		l.Log.Warn("cannot read owner map", "service", name, "error", err.Error())
		return false
	case stored.position.Era != held.Era:
		return false // the term ends
	case l.canContinue(held, name, stored):
		return l.continueTerm(ctx, held, name, stored)
	case stored.position.Revision == 0:
		l.startEra(held, name, stored)
		return true
	}
	l.forgetSuspended(name)
	return l.takeOverStored(ctx, held, name, stored)
}

// takeOverStored writes the stored map back under a new term.
func (l *Leader) takeOverStored(ctx context.Context, held redwingstall.Lease, name string, stored storedMap) bool {
	hasResigned := stored.IsResigned
	now := l.Clock()
	assigner := assign.NewAssigner(now, l.grantTiming(), stored.Map)
	assigner.RecallReleases(l.history.releases[name])
	next := assigner.Map().Clone()
	next.StartTerm(held.ID)
	assigner.SetEnds(now, &next)
	position, err := l.writeMap(ctx, name, stored.position, next, nil)
	if err != nil {
		l.Log.Warn("cannot take over owner map", "service", name, "era", stored.position.Era, "revision", stored.position.Revision, "error", err.Error())
		return false
	}
	assigner.Adopt(next)
	l.Log.Info("owner map taken over", "afterResignation", hasResigned, "service", name, "term", next.Term, "era", position.Era, "revision", position.Revision, "ranges", len(next.Ranges))
	l.addService(name, &serviceState{assigner: assigner, position: position})
	return true
}

// canContinue reports whether this instance has led the service until the end of the
// previous era, and no other one in this era. The stored map may be this instance's own, of
// a write without an answer.
func (l *Leader) canContinue(held redwingstall.Lease, name string, stored storedMap) bool {
	s := l.suspendedState(held.Era, name)
	return s != nil && (stored.position.Revision == 0 || bytes.Equal(stored.Encode(), l.continuedMap(held, s).Encode()))
}

// continuedMap returns the map with which a term goes on in another era.
func (l *Leader) continuedMap(held redwingstall.Lease, s *serviceState) shardmap.Map {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := s.assigner.Map().Clone()
	m.StartEra(held.Era, held.ID)
	m.LeaderLease = max(m.LeaderLease, l.leaseTTL)
	return m
}

// continueTerm goes on with the map and the commands of this instance's own term in the
// previous era, which no other leader can have followed.
func (l *Leader) continueTerm(ctx context.Context, held redwingstall.Lease, name string, stored storedMap) bool {
	suspended := l.suspendedState(held.Era, name)
	suspended.continuableIn = held.Era
	assigner, m := suspended.assigner, l.continuedMap(held, suspended)
	position, err := l.writeMap(ctx, name, stored.position, m, stored.superseded)
	if errors.Is(err, redwingstall.ErrConflict) {
		l.forgetSuspended(name) // another leader has written the map
	}
	if err != nil {
		l.Log.Warn("cannot continue with own owner map", "service", name, "era", held.Era, "error", err.Error())
		return false
	}
	l.Log.Info("continuing with own owner map in a new era of the store", "service", name, "term", m.Term, "era", position.Era, "revision", position.Revision, "ranges", len(m.Ranges), "lastFence", m.LastFence)
	l.mu.Lock()
	assigner.Adopt(m)
	assigner.ContinueUnder(l.leaseTTL)
	l.mu.Unlock()
	l.addService(name, &serviceState{assigner: assigner, position: position})
	return true
}

// startEra starts to lead a service of which the current era has no map. Unless the whole
// system has just started, servers may hold keys by a map that the store has lost.
func (l *Leader) startEra(held redwingstall.Lease, name string, stored storedMap) {
	last := l.View.Snapshot().Maps[name].Map.Clone()
	hasNoHolders := l.IsFirstStart && len(last.Ranges) == 0 && l.history.hadNoGrants(l.startedAt)
	last.StartEra(held.Era, held.ID)
	state := &serviceState{position: stored.position, superseded: stored.superseded}
	if hasNoHolders {
		state.assigner = assign.NewAssigner(l.Clock(), l.grantTiming(), last)
	} else {
		state.recovery = assign.NewRecovery(l.history.eraBeganAt, l.grantTiming(), last, l.history.knowsHolders)
		l.Log.Info("recovering owners of keys", "service", name, "term", last.Term, "era", held.Era, "ranges", len(last.Ranges), "lastFence", last.LastFence,
			"knowsHolders", l.history.knowsHolders, "eraAgeMillis", (l.Clock() - l.history.eraBeganAt).Milliseconds())
	}
	l.addService(name, state)
}

func (l *Leader) addService(name string, state *serviceState) {
	state.addresses = map[string]string{}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state.assigner != nil {
		l.observeGaps(state, state.assigner.Map())
	}
	l.services[name] = state
}

// stepRecovery sends the commands of a recovery, and starts to assign keys when it is done.
// The lock must be held.
func (l *Leader) stepRecovery(ctx context.Context, lease *presence.Lease, name string, state *serviceState, cluster assign.ClusterState) {
	now := l.Clock()
	for _, command := range state.recovery.DueCommands(now, cluster, l.history.addresses(name)) {
		go l.execute(ctx, lease, name, state.recovery, command)
	}
	if !state.recovery.IsDone(now) {
		return
	}
	l.Log.Info("owners of keys recovered", "service", name, "unreleased", strings.Join(state.recovery.Unreleased(), " "))
	state.assigner, state.recovery = state.recovery.Assigner(now), nil
	l.wakeUp()
}

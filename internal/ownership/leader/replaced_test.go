package leader

import (
	"cmp"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// takenOver answers at one address as a server that has taken it over.
type takenOver struct {
	redwingstall.KeyOwner
	address string
	// id is what the server calls itself, if it says so.
	id string
	// err is the result of a release.
	err error
}

func (o takenOver) Release(_ context.Context, _, address string, _ redwingstall.KeyRange, _ int64) (string, redwingstall.ResponseMeta, error) {
	if address != o.address {
		return "", redwingstall.ResponseMeta{}, redwingstall.ErrUnavailable
	}
	return "", redwingstall.ResponseMeta{}, o.err
}

func (o takenOver) Identify(_ context.Context, address, _ string) (string, error) {
	if address == o.address && o.id != "" {
		return o.id, nil
	}
	return "", redwingstall.ErrUnavailable
}

const formerAddress = "10.0.0.1:80"

// replacementTest is an owner that was listed at an address, and what was learned since.
type replacementTest struct {
	isOff   bool
	id      string
	err     error
	address string
	// before were listed one after the other, and after remain at the end.
	before []redwingstall.BackendEntry
	after  []redwingstall.BackendEntry
}

func entryAt(id, address string, started int64) redwingstall.BackendEntry {
	return redwingstall.BackendEntry{ID: id, Service: "s", Address: address, Slots: 1, StartedAtMillis: started, Sequence: started}
}

// result returns the result of a release to the owner.
func (r replacementTest) result(t *testing.T) assign.Result {
	t.Helper()
	v := view.NewView(slog.New(slog.DiscardHandler), 0)
	if r.err == nil {
		r.err = redwingstall.ErrAddressReassigned
	}
	l := NewLeader(Config{
		View: v, OwnerClient: takenOver{address: cmp.Or(r.address, formerAddress), id: r.id, err: r.err}, Load: noLoad{},
		Log: slog.New(slog.DiscardHandler), Clock: func() time.Duration { return time.Second },
		Features: func() features.Set { return features.Set{KeyRecovery: !r.isOff} },
	})
	state := &serviceState{addresses: map[string]string{}}
	l.services = map[string]*serviceState{"s": state}
	config := redwingstall.ConfigurationChanged{Configuration: redwingstall.Configuration{
		Version: 1, Services: map[string]redwingstall.ServiceSpec{"s": {Name: "s", Sharded: true}},
	}}
	v.Apply(time.Now(), []redwingstall.Event{config}, false)
	for _, entry := range r.before {
		v.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryChanged{Entry: entry}}, false)
		l.clusterState(v.Snapshot(), "s", state)
	}
	events := []redwingstall.Event{config}
	for _, entry := range r.after {
		events = append(events, redwingstall.EntryChanged{Entry: entry})
	}
	v.Apply(time.Now(), events, true)
	l.clusterState(v.Snapshot(), "s", state)
	return l.callOwner(context.Background(), "s", assign.Command{
		Kind: assign.CommandRelease, Address: state.addresses["former"], Owner: shardmap.Server{ID: "former", StartedAtMillis: 5},
	})
}

// noLoad reports no load.
type noLoad struct{}

func (noLoad) KeyRates(string) []float32     { return nil }
func (noLoad) Capacity(*view.Server) float64 { return 1 }

// Guards against keys that move while their owner lives, by evidence that something else
// than the owner's end gives too.
func TestOwnerIsReplacedOnlyByAListedSuccessorThatNamesItself(t *testing.T) {
	const other = "10.0.0.2:80"
	former, next := entryAt("former", formerAddress, 5), entryAt("next", formerAddress, 9)
	moved := former
	moved.Address, moved.Sequence = other, 6
	listed, successor, elsewhere := []redwingstall.BackendEntry{former}, []redwingstall.BackendEntry{next}, []redwingstall.BackendEntry{entryAt("next", other, 9)}
	require.True(t, replacementTest{id: "next", before: listed, after: successor}.result(t).IsReplaced)
	for name, test := range map[string]replacementTest{
		"the feature is off":                   {id: "next", before: listed, after: successor, isOff: true},
		"no answer":                            {id: "next", before: listed, after: successor, err: redwingstall.ErrUnavailable},
		"a higher fence":                       {id: "next", before: listed, after: successor, err: redwingstall.ErrFenced},
		"no entry of the process":              {id: "next", before: listed},
		"nobody names itself":                  {before: listed, after: successor},
		"another process names itself":         {id: "third", before: listed, after: successor},
		"its entry names another address":      {id: "next", before: listed, after: elsewhere},
		"it started before the owner":          {id: "next", before: listed, after: []redwingstall.BackendEntry{entryAt("next", formerAddress, 4)}},
		"the owner is still listed":            {id: "next", before: listed, after: []redwingstall.BackendEntry{former, next}},
		"the owner was never listed":           {id: "next", after: successor},
		"another writer moved the entry":       {id: "next", address: other, before: []redwingstall.BackendEntry{former, moved}, after: elsewhere},
		"another writer lists a later process": {id: "next", address: other, before: []redwingstall.BackendEntry{former, entryAt("former", other, 6)}, after: elsewhere},
	} {
		require.False(t, test.result(t).IsReplaced, name)
	}
}

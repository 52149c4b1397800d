package gateway

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/observe/metrics"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"

	"github.com/redwingstall/redwingstall/internal/entry/callers"
)

// Guards against requests that are cut while the platform still requires their answers,
// and against a process that is killed before it answers those that it cuts.
func TestRequestsRunUntilTheLastSixthOfTheGraceTime(t *testing.T) {
	for _, grace := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second} {
		allowed := requestGrace(grace)
		require.Greater(t, allowed, grace*5/6, grace)
		require.Less(t, allowed+callers.AnswerTimeout, grace*19/20, grace)
	}
}

func TestRegistrationsOfALargeFleetAreSpread(t *testing.T) {
	half := func() float64 { return 0.5 }
	require.Equal(t, 300*time.Millisecond, registrationDelay(300, half))
	require.Less(t, registrationDelay(6, half), 10*time.Millisecond)
}

// Guards against keys that stay at an owner which names a limit far below what it could do.
func TestCapacityOfAServerIsAtMostItsLimit(t *testing.T) {
	g := &Gateway{estimator: &placement.Estimator{}, limiter: &serverlimit.Limiter{Table: &serverlimit.Table{}}}
	server := &view.Server{BackendEntry: redwingstall.BackendEntry{ID: "s", Service: "x", Slots: 4, StartedAtMillis: 1}}
	full := capacityEstimator{g}.Capacity(server)
	require.Greater(t, full, 20.0)
	now := time.Now()
	g.limiter.Table.Observe(server.Process(), redwingstall.RateLimit{Rate: 4, IsNamed: true}, now, now)
	require.InDelta(t, 4, capacityEstimator{g}.Capacity(server), 0)
	g.limiter.Table.Observe(server.Process(), redwingstall.RateLimit{}, now, now)
	require.InDelta(t, full, capacityEstimator{g}.Capacity(server), 0)
}

// Guards against limited servers that get nothing from the last instance while it stops.
func TestLeavingInstancesCoordinateLimitsIfNoneStays(t *testing.T) {
	g := &Gateway{view: view.NewView(slog.New(slog.DiscardHandler), 0)}
	list := func(name string, isLeaving bool) {
		record, err := view.PeerRecord(view.Peer{Name: name, IsLeaving: isLeaving})
		require.NoError(t, err)
		g.view.Apply(time.Now(), []redwingstall.Event{redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}}}, false)
	}
	list("a", true)
	require.Equal(t, []string{"a"}, g.instances().Names)
	before := g.instances().Version
	list("b", false)
	require.Equal(t, []string{"b"}, g.instances().Names)
	require.NotEqual(t, before, g.instances().Version)
	g.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EvacuationChanged{FailureDomain: "x", IsActive: true}}, false)
	require.Equal(t, before+1, g.instances().Version, "the same instances")
}

// Guards against client connections that take the descriptors or the memory which the rest needs.
func TestBoundsOfConnectionsFollowFromDescriptorsAndMemory(t *testing.T) {
	for name, c := range map[string]struct {
		node            settings.Node
		clients, server int
	}{
		"byDescriptors":  {settings.Node{MaxDescriptors: 2870, MemoryBytes: 1 << 30}, 1435, 717},
		"byMemory":       {settings.Node{MaxDescriptors: 2870, MemoryBytes: 136 << 20}, 544, 717},
		"bySetting":      {settings.Node{MaxDescriptors: 2870, MemoryBytes: 136 << 20, MaxClientConnections: 900}, 900, 717},
		"settingTooHigh": {settings.Node{MaxDescriptors: 2870, MaxClientConnections: 5000}, 1435, 717},
		"least":          {settings.Node{MaxDescriptors: 20}, minClients, 5},
		"none":           {settings.Node{}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.clients, maxClients(c.node))
			require.Equal(t, c.server, maxServerConnections(c.node))
		})
	}
}

// Guards against key rates that do not follow the switch of even load. Nearly all requests are
// of the last half second, so that the rates by it are higher.
func TestKeyRatesFollowEvenLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.NewRegistry()
		registry.CountKey(time.Now(), "x", 5)
		time.Sleep(5 * time.Second)
		for range 400 {
			registry.CountKey(time.Now(), "x", 5)
			time.Sleep(time.Millisecond)
		}
		usual, volatile := registry.KeyRates("x"), registry.VolatileKeyRates("x")
		require.Greater(t, volatile[5], 1.5*usual[5])
		for mode, expected := range map[features.Mode][]float32{features.On: volatile, features.Off: usual} {
			g := &Gateway{view: view.NewView(slog.New(slog.DiscardHandler), 0), metrics: registry, node: settings.Node{Features: features.Modes{EvenLoad: mode}}}
			require.InDelta(t, expected[5], capacityEstimator{g}.KeyRates("x")[5], 0.01*float64(expected[5]), mode)
		}
	})
}

// Guards against features that are resolved from all routes for each request, and against those of
// a configuration that is no longer in force.
func TestFeaturesFollowTheConfiguration(t *testing.T) {
	g := &Gateway{view: view.NewView(slog.New(slog.DiscardHandler), 0)}
	require.Equal(t, features.Set{}, g.features(), "without a configuration")
	configure := func(version int64, timeout time.Duration) {
		config := redwingstall.Configuration{Version: version}
		config.Routes = []redwingstall.Route{{Kind: redwingstall.KindSafe, Target: time.Second, Timeout: timeout}}
		g.view.Apply(time.Now(), []redwingstall.Event{redwingstall.ConfigurationChanged{Configuration: config}}, false)
	}
	configure(1, 2*time.Second)
	require.Equal(t, features.Set{}, g.features())
	first := g.resolved.Load()
	require.Equal(t, features.Set{}, g.features())
	require.Same(t, first, g.resolved.Load(), "resolved again")
	configure(2, 3*time.Second)
	require.Equal(t, features.Set{KeyRecovery: true, EvenLoad: true}, g.features())
	g.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EvacuationChanged{FailureDomain: "x", IsActive: true}}, false)
	second := g.resolved.Load()
	require.Equal(t, features.Set{KeyRecovery: true, EvenLoad: true}, g.features())
	require.Same(t, second, g.resolved.Load(), "the same configuration")
	configure(3, 2*time.Second)
	require.Equal(t, features.Set{}, g.features())
}

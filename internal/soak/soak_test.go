package soak_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/soak"
	"github.com/redwingstall/redwingstall/pkg/app"
)

// TestMain runs the test binary as the program if soak.GatewayVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(soak.GatewayVariable) != "" {
		os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func uintFromEnvironment(name string, defaultValue uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return defaultValue
}

// regressionSeeds and restoreRegressionSeeds list seeds that once failed, each with the
// cause that was fixed.
var (
	regressionSeeds = []uint64{
		3607, // an instance that had just started let a request pass that all others rejected
	}
	restoreRegressionSeeds = []uint64{
		3,    // keys granted by the owner map of an older copy, with a lower fence
		8018, // servers that answered without end were asked again and again
		3117, // a limit in responses of a server that holds no keys was not read
	}
)

// TestSoak runs SOAK_SEEDS seeds from SOAK_FIRST on, for SOAK_SECONDS each. Without
// these variables it is the short run of CI. It guards against violations of the
// router's guarantees under faults of processes, the network and the store.
func TestSoak(t *testing.T) {
	runSoak(t, false, regressionSeeds)
}

// TestSoakWithRestoredStore runs seeds as TestSoak does. It guards against what was read
// from the store before it was restored from an older copy, and against the older copy.
func TestSoakWithRestoredStore(t *testing.T) {
	runSoak(t, true, restoreRegressionSeeds)
}

func runSoak(t *testing.T, restoresStore bool, regressionSeeds []uint64) {
	config := soak.Config{
		Command: []string{os.Args[0]}, Duration: time.Duration(uintFromEnvironment("SOAK_SECONDS", 8)) * time.Second, Folder: os.Getenv("SOAK_FOLDER"),
		Instances: int(uintFromEnvironment("SOAK_INSTANCES", 4)), Servers: int(uintFromEnvironment("SOAK_SERVERS", 9)), Clients: int(uintFromEnvironment("SOAK_CLIENTS", 12)),
		Network: int(uintFromEnvironment("SOAK_NETWORK", 77)), RestoresStore: restoresStore, Log: os.Stdout,
	}
	if config.Folder == "" {
		config.Folder = t.TempDir()
	}
	failed, err := soak.RunSeeds(config, uintFromEnvironment("SOAK_FIRST", 1), uintFromEnvironment("SOAK_SEEDS", 1))
	require.NoError(t, err)
	for _, seed := range regressionSeeds {
		more, err := soak.RunSeeds(config, seed, 1)
		require.NoError(t, err)
		failed = append(failed, more...)
	}
	require.Empty(t, failed, "seeds with violations")
}

// Guards against a removed API key that works on at a process that was stopped or cut off, and
// against refusals of known keys while service is owed.
func TestRemovedKeyRunsNowhere(t *testing.T) {
	violations, err := soak.RunRevocation(soak.Config{
		Command: []string{os.Args[0]}, Folder: t.TempDir(), Instances: 3, Servers: 6,
		Network: int(uintFromEnvironment("SOAK_NETWORK", 77)), Log: os.Stdout,
	})
	require.NoError(t, err)
	require.Empty(t, violations)
}

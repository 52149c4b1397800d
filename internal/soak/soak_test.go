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

// TestMain lets the test binary run as the program too.
func TestMain(m *testing.M) {
	if os.Getenv(soak.GatewayVariable) != "" {
		os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func number(name string, preset uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return preset
}

// Seeds that failed once, each with the cause that was mended.
var formerSeeds = []uint64{}

// TestSoak plays seeds SOAK_FIRST and on, SOAK_SEEDS of them, for SOAK_SECONDS
// each. Without these it is the short run of CI.
func TestSoak(t *testing.T) {
	config := soak.Config{
		Command: []string{os.Args[0]}, Duration: time.Duration(number("SOAK_SECONDS", 8)) * time.Second, Folder: os.Getenv("SOAK_FOLDER"),
		Instances: int(number("SOAK_INSTANCES", 4)), Servers: int(number("SOAK_SERVERS", 9)), Clients: int(number("SOAK_CLIENTS", 12)),
		Network: int(number("SOAK_NETWORK", 77)), Log: os.Stdout,
	}
	if config.Folder == "" {
		config.Folder = t.TempDir()
	}
	failed, err := soak.Seeds(config, number("SOAK_FIRST", 1), number("SOAK_SEEDS", 1))
	require.NoError(t, err)
	for _, seed := range formerSeeds {
		more, err := soak.Seeds(config, seed, 1)
		require.NoError(t, err)
		failed = append(failed, more...)
	}
	require.Empty(t, failed, "seeds that broke a promise")
}

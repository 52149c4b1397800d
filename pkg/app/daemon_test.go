package app

import (
	"log/slog"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are cut off by a signal which a process manager repeats.
func TestOnlySecondInterruptForcesExit(t *testing.T) {
	signals := make(chan os.Signal, 6)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		signals <- s
	}
	log := slog.New(slog.DiscardHandler)
	awaitStopSignal(signals, log)
	require.Len(t, signals, 4, "signals left after the stop signal")
	awaitForcedStop(signals, log)
	require.Len(t, signals, 1, "signals left after the forced stop")
}

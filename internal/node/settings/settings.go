// Package settings holds the startup settings of an instance on a platform.
package settings

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/node/features"
)

// Bounds are the time limits and budgets that the platform requires the router to
// keep.
type Bounds struct {
	DrainTimeout       time.Duration
	ConfigApplyTimeout time.Duration
	EvacuationTimeout  time.Duration
	ShutdownGrace      time.Duration
	MaxGrantTTL        time.Duration
	RetryRatio         float64
	RetryWindow        time.Duration
	RetryExtra         float64
	WarmupOverrun      float64
	WarmupSlack        float64
	DiscoveryRecovery  time.Duration
	// StrictRevocation requires that no request with an API key runs that was sent later
	// than RevocationTimeout after the key was removed.
	StrictRevocation  bool
	RevocationTimeout time.Duration
	// QuotaWindow is the time over which the requests of a client account are counted.
	// QuotaOverrun and QuotaSlack are how far they may exceed the limit in it: as a share of
	// the limit, and in requests.
	QuotaWindow  time.Duration
	QuotaOverrun float64
	QuotaSlack   float64
}

// Node describes one instance and its environment on the platform.
type Node struct {
	Name          string
	IP            string
	FailureDomain string
	FrontAddress  string
	ReadyAddress  string
	PeerPort      int
	StoreAddress  string
	// IsFirstStart is set only when the whole system starts for the first time.
	IsFirstStart bool
	// MemoryBytes is the memory limit above which the platform kills the process.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the platform lets the process open.
	MaxDescriptors int
	// MaxClientConnections bounds the connections of clients. Zero derives it from the memory and
	// the descriptors.
	MaxClientConnections int
	LinkMbps             float64
	Features             features.Modes
	Bounds               Bounds
}

// ErrInvalid marks settings that cannot be used.
var ErrInvalid = errors.New("settings: invalid")

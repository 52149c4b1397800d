// Package settings holds what an instance on a platform is started with.
package settings

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds are the times that the platform holds the router to.
type Bounds struct {
	Drain           time.Duration
	ConfigApply     time.Duration
	Evacuate        time.Duration
	Grace           time.Duration
	HoldMax         time.Duration
	RetryRatio      float64
	RetryWindow     time.Duration
	RetryExtra      float64
	WarmupOverrun   float64
	WarmupSlack     float64
	DiscoveryReturn time.Duration
}

// Node is one instance's place on the platform.
type Node struct {
	Name          string
	IP            string
	FailureDomain string
	Front         string
	Ready         string
	PeerPort      int
	Store         string
	// MemoryBytes above which the platform kills the process.
	MemoryBytes int64
	LinkMbps    float64
	Bounds      Bounds
}

// ErrInvalid marks settings that cannot be used.
var ErrInvalid = errors.New("settings: invalid")

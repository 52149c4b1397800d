// Package common holds the dependencies that all components of an entry instance share.
package common

import (
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

// Common holds the shared dependencies. It is passed to each component's constructor.
type Common struct {
	Log      *slog.Logger
	Metrics  metrics.Registry
	Settings settings.Settings
	Clock    redwingstall.Clock
	// Self is the member that represents this process.
	Self membership.Member
}

// Count increments a counter by one.
func (c *Common) Count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

// Timing returns the time limits of the voting protocol.
func (c *Common) Timing() membership.Timing {
	return membership.Timing{
		Lifetime:     c.Settings.Timing.GrantLifetime,
		ExcludeAfter: c.Settings.Timing.ExcludeAfter,
		RateBound:    c.Settings.Timing.ClockRateBound,
	}
}

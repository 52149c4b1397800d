// Package common holds what every part of an entry instance is made with.
package common

import (
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

// Common is passed to each part's constructor.
type Common struct {
	Log      *slog.Logger
	Metrics  metrics.Registry
	Settings settings.Settings
	Clock    redwingstall.Clock
	// Self is this process as a member.
	Self membership.Member
}

// Count adds one to a counter.
func (c *Common) Count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

// Timing returns the periods of the voting rounds.
func (c *Common) Timing() membership.Timing {
	return membership.Timing{
		Lifetime:     c.Settings.Timing.GrantLifetime,
		ExcludeAfter: c.Settings.Timing.ExcludeAfter,
		RateBound:    c.Settings.Timing.ClockRateBound,
	}
}

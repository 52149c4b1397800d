// Package features decides which optional decisions of the router a deployment uses.
package features

import (
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// Mode is the setting of one feature.
type Mode string

// The modes of a feature.
const (
	// Auto uses the feature where the contracts or the configuration call for it. Admission is
	// used only if it is [On].
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// ParseMode parses a mode. An empty text is [Auto].
func ParseMode(text string) (Mode, error) {
	switch mode := Mode(text); mode {
	case "":
		return Auto, nil
	case Auto, On, Off:
		return mode, nil
	}
	return Auto, errors.Newf("%q is none of auto, on and off", text)
}

// Modes are the settings of an instance. The zero value is [Auto] for each feature.
type Modes struct {
	KeyRecovery Mode
	Admission   Mode
	EvenLoad    Mode
	// IsUnderPressure is set if the platform states that the clients' demand may exceed
	// the capacity for long.
	IsUnderPressure bool
}

// Set holds the features in use.
type Set struct {
	// KeyRecovery shortens the time for which keys have no owner after a loss.
	KeyRecovery bool
	// Admission admits requests by what a response is still worth to the caller.
	Admission bool
	// EvenLoad corrects for reports of load that are older than the choices of others.
	EvenLoad bool
}

// minTimeoutRatio is the timeout of a route, in multiples of its latency objective, from
// which callers wait for late responses. Only then does it matter which of them wait.
const minTimeoutRatio = 3

// Resolve returns the features that the settings and the configuration call for. The
// configuration may be nil.
func Resolve(modes Modes, configuration *redwingstall.Configuration) Set {
	isCalledFor := modes.IsUnderPressure || hasLongTimeouts(configuration)
	return Set{
		KeyRecovery: modes.KeyRecovery.resolve(isCalledFor),
		// Played on the contended deployments, callers got less with it than without it.
		Admission: modes.Admission == On,
		EvenLoad:  modes.EvenLoad.resolve(isCalledFor),
	}
}

func (m Mode) resolve(isCalledFor bool) bool {
	return m == On || m != Off && isCalledFor
}

func hasLongTimeouts(c *redwingstall.Configuration) bool {
	if c == nil {
		return false
	}
	for _, r := range c.Routes {
		if r.Target > 0 && r.Timeout >= minTimeoutRatio*r.Target {
			return true
		}
	}
	return false
}

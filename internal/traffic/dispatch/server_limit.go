package dispatch

import "time"

// observeLimit records what a response says about the limit of its server.
func (d *Dispatcher) observeLimit(j *job, a *attempt) {
	named := a.answer.Meta.Limit
	if named.IsUnreadable {
		d.Counter.Count("serverLimits.unreadable")
		d.Log.Warn("limit of backend server cannot be read", "id", j.meta.ID, "server", a.choice.server.ID)
	}
	known, hasChanged := d.ServerLimits.Observe(a.choice.server.Process(), named, a.began, time.Now())
	if known.IsActive() {
		d.Counter.Count("serverLimits.requests")
	}
	if !hasChanged {
		return
	}
	d.Counter.Count("serverLimits.changes")
	d.Log.Info("limit of backend server", "server", known.Server.ID, "service", j.service, "perSecond", known.Rate, "id", j.meta.ID, "source", "response")
}

package dispatch

import (
	"net/http"
	"time"
)

// observeResponse records what a server says about itself in its response. A misdirected one
// may come from another server that took over the address: it does not end a limit. What it
// says otherwise does no harm then, since the server that was asked is gone.
func (d *Dispatcher) observeResponse(j *job, a *attempt) {
	if !a.result.isMisdirected || a.answer.Meta.Limit.IsNamed {
		d.observeLimit(j, a)
	}
	d.observeLeaving(j, a)
	d.observeBackoff(j, a)
	d.observeWarmup(j, a)
}

// observeLimit records what a response says about the limit of its server.
func (d *Dispatcher) observeLimit(j *job, a *attempt) {
	named := a.answer.Meta.Limit
	if named.IsUnreadable {
		d.Counter.Count("serverLimits.unreadable")
		d.Log.Warn("limit of backend server cannot be read", "id", j.meta.ID, "server", a.choice.server.ID)
	}
	known, hasChanged := d.ServerLimiter.Table.Observe(a.choice.server.Process(), named, a.began, time.Now())
	if known.IsActive() {
		d.Counter.Count("serverLimits.requests")
	}
	if !hasChanged {
		return
	}
	d.Counter.Count("serverLimits.changes")
	d.Log.Info("limit of backend server", "server", known.Server.ID, "service", j.service, "perSecond", known.Rate, "id", j.meta.ID, "source", "response")
}

// observeLeaving records a server that announces in its response that it leaves.
func (d *Dispatcher) observeLeaving(j *job, a *attempt) {
	if a.answer.Meta.IsLeaving && d.View.MarkLeaving(time.Now(), a.choice.server.Process()) {
		d.Counter.Count("servers.leaving")
		d.Log.Info("backend server announces that it leaves", "id", j.meta.ID, "server", a.choice.server.ID, "service", j.service)
	}
}

// observeBackoff records how long a server that turned the request away wants no others.
func (d *Dispatcher) observeBackoff(j *job, a *attempt) {
	status, delay := a.answer.Status, a.answer.Meta.RetryAfter
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || delay == 0 {
		return
	}
	d.Counter.Count("servers.backoffs")
	if d.backoffs.Extend(time.Now(), a.choice.server.Process(), delay) {
		d.Log.Info("backend server wants no requests for a time", "id", j.meta.ID, "server", a.choice.server.ID, "service", j.service, "retryAfterMillis", delay.Milliseconds())
	}
}

// observeWarmup records a server that says in its response that it is in warm-up, which its
// entry may not say yet.
func (d *Dispatcher) observeWarmup(j *job, a *attempt) {
	left := a.answer.Meta.WarmupLeft
	if d.warmups.Extend(time.Now(), a.choice.server.Process(), left) {
		d.Log.Info("backend server is in warm-up", "id", j.meta.ID, "server", a.choice.server.ID, "service", j.service, "leftMillis", left.Milliseconds())
	}
}

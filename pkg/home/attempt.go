package home

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// Attempt describes one attempt at a request. The home instance of the pool sends
// it to one of the pool's servers.
type Attempt struct {
	Pool string
	Key  string
	// AvoidServer names the server to choose last, or is empty.
	AvoidServer string
	// Background marks a request that waits for a slot behind foreground requests.
	Background bool
	// Deadline of the whole attempt, queueing included.
	Deadline time.Time
	Method   string
	// Query of the request, without the question mark.
	Query  string
	Header http.Header
	Body   io.Reader
	// Length of the body in bytes.
	Length int64
	// RequestID is the same for all attempts at a request.
	RequestID string
}

// Reasons for which a home instance refuses an attempt.
const (
	ReasonNotHome = "notHome"
	ReasonNoOwner = "noOwner"
	// ReasonLeaseExpired refuses an attempt whose pool lease expired, or whose
	// server was removed, while the attempt waited for a slot.
	ReasonLeaseExpired     = "rightLapsed"
	ReasonDeadlineExceeded = "tooLate"
	ReasonStopping         = "stopping"
)

// Do waits for a slot, sends the attempt and returns the server's response. The
// slot is held until the response body is closed. Errors are
// *[backend.AttemptError].
func (m *Manager) Do(ctx context.Context, attempt Attempt) (*http.Response, error) {
	p := m.findPool(attempt.Pool)
	if p == nil || !p.hasLease(m.common.Clock.Now()) {
		return nil, backend.NewNotRunError(ReasonNotHome)
	}
	grant, err := p.findGrant(attempt)
	if err != nil {
		return nil, err
	}
	lease, err := p.admission.Acquire(ctx, admission.Request{
		Server:     grant.server,
		Avoid:      attempt.AvoidServer,
		Background: attempt.Background || p.info.Service.Background,
		Deadline:   attempt.Deadline,
	})
	if err != nil {
		refusal := &admission.RefusalError{}
		if errors.As(err, &refusal) {
			return nil, backend.NewNotRunError(refusal.Reason)
		}
		return nil, backend.NewNotRunError(ReasonStopping)
	}
	return p.send(ctx, attempt, grant, lease)
}

// shardGrant is the grant under which a keyed request runs. It is zero for the
// other kinds of service.
type shardGrant struct {
	server string
	shard  string
	fence  int64
}

// findGrant looks up the owner of a keyed request's shard. It uses the assignment
// record of this instance, since that of the entry instance may be older.
func (p *pool) findGrant(attempt Attempt) (shardGrant, error) {
	if p.info.Service.Kind != templates.KindKeyed {
		return shardGrant{}, nil
	}
	record, _ := p.manager.view.Assignment(p.info.Account, p.info.Service.Name)
	name, entry, found := record.Locate(attempt.Key)
	if !found || entry.State != assignment.ShardOwned {
		return shardGrant{}, backend.NewNotRunError(ReasonNoOwner)
	}
	if p.findServer(entry.Owner) == nil {
		return shardGrant{}, backend.NewNotRunError(ReasonNotHome)
	}
	return shardGrant{server: entry.Owner, shard: name, fence: entry.Fence}, nil
}

func (p *pool) send(ctx context.Context, attempt Attempt, grant shardGrant, lease *admission.Lease) (*http.Response, error) {
	s := p.findServer(lease.Server())
	now := p.manager.common.Clock.Now()
	if s == nil || !p.hasLease(now) {
		lease.Release()
		return nil, backend.NewNotRunError(ReasonLeaseExpired)
	}
	if grant.shard != "" {
		s.loads.record(grant.shard, attempt.Key)
	}
	ctx, cancel := s.cancelOnLoss(ctx)
	response, err := s.client.Do(ctx, p.request(attempt, grant, s, now))
	elapsed := p.manager.common.Clock.Now().Sub(now)
	if err != nil {
		p.recordFailure(ctx, s, lease, err, elapsed)
		cancel()
		return nil, err
	}
	response.Header.Set(redwingstall.HeaderServer, s.config.Name)
	response.Body = &slotBody{ReadCloser: response.Body, releaseSlot: func(result admission.AttemptResult) {
		lease.EndWithLatency(result, elapsed)
		if result != admission.AttemptSucceeded {
			s.triggerHeartbeat()
		}
		cancel()
	}}
	return response, nil
}

// request builds the request to the server. It carries the deadline as the time
// left. At-most-once requests also carry it as a time on the server's own clock,
// so that a delay on the way does not extend it.
func (p *pool) request(attempt Attempt, grant shardGrant, s *server, now time.Time) backend.Request {
	header := attempt.Header.Clone()
	header.Set(redwingstall.HeaderHome, p.manager.common.Self.ID)
	header.Set(redwingstall.HeaderTimeout, attempt.Deadline.Sub(now).String())
	isAtMostOnce := p.info.Service.Kind == templates.KindAtMostOnce
	if grant.shard != "" {
		header.Set(redwingstall.HeaderShard, grant.shard)
		header.Set(redwingstall.HeaderFence, strconv.FormatInt(grant.fence, 10))
	}
	if isAtMostOnce {
		s.mu.Lock()
		notAfter := s.issuer.ClockAt(attempt.Deadline)
		s.mu.Unlock()
		header.Set(redwingstall.HeaderNotAfter, strconv.FormatInt(notAfter.Nanoseconds(), 10))
	}
	path := fmt.Sprintf("/%s/%s", p.info.Service.Name, attempt.Key)
	if attempt.Query != "" {
		path += "?" + attempt.Query
	}
	return backend.Request{
		Method:     attempt.Method,
		Path:       path,
		Header:     header,
		Body:       attempt.Body,
		Length:     attempt.Length,
		ID:         attempt.RequestID,
		AtMostOnce: isAtMostOnce,
	}
}

// recordFailure ends the slot lease of an attempt that got no response, with the
// result that fits the error, and updates the state of the server.
func (p *pool) recordFailure(ctx context.Context, s *server, lease *admission.Lease, err error, elapsed time.Duration) {
	attemptErr := &backend.AttemptError{}
	if !errors.As(err, &attemptErr) {
		lease.EndWithLatency(admission.AttemptFailed, elapsed)
		return
	}
	p.manager.common.Count("attempts." + string(attemptErr.Outcome) + "." + attemptErr.Reason)
	switch redwingstall.Refusal(attemptErr.Reason) {
	case redwingstall.RefusalShed:
		lease.EndShed(elapsed, attemptErr.RetryAfter)
		return
	case redwingstall.RefusalDraining:
		s.markDraining()
		lease.EndWithLatency(admission.AttemptRefused, elapsed)
		p.closeIneligible(p.manager.common.Clock.Now())
		return
	case redwingstall.RefusalNotOwner, redwingstall.RefusalExpired:
		lease.EndWithLatency(admission.AttemptRefused, elapsed)
		s.triggerHeartbeat()
		return
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		lease.EndWithLatency(admission.AttemptCanceled, elapsed)
		s.triggerHeartbeat()
		return
	}
	lease.EndWithLatency(admission.AttemptFailed, elapsed)
	s.triggerHeartbeat()
}

// slotBody is a response body that releases the admission slot when it is closed.
type slotBody struct {
	io.ReadCloser
	once        sync.Once
	result      admission.AttemptResult
	isComplete  bool
	releaseSlot func(admission.AttemptResult)
}

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.isComplete = true
	case err != nil:
		b.result = admission.AttemptFailed
	}
	return n, err
}

// Close closes the body and releases the slot. A response that was not read to
// its end counts as canceled, since the server may keep sending it until it notices
// the closed connection.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		if !b.isComplete && b.result == admission.AttemptSucceeded {
			b.result = admission.AttemptCanceled
		}
		b.releaseSlot(b.result)
	})
	return err
}

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

// Attempt is one attempt that a pool's home instance carries out.
type Attempt struct {
	Pool        string
	Key         string
	AvoidServer string
	Background  bool
	// Deadline of the whole attempt.
	Deadline time.Time
	Method   string
	// Query of the request, without the question mark.
	Query     string
	Header    http.Header
	Body      io.Reader
	Length    int64
	RequestID string
}

// Reasons for which a home instance refuses an attempt.
const (
	ReasonNotHome          = "notHome"
	ReasonNoOwner          = "noOwner"
	ReasonLeaseExpired     = "rightLapsed"
	ReasonDeadlineExceeded = "tooLate"
	ReasonStopping         = "stopping"
)

// Do admits an attempt, sends it and returns the server's answer. The slot is
// held until the answer's body is closed. Errors are *[backend.AttemptError].
func (h *Manager) Do(ctx context.Context, call Attempt) (*http.Response, error) {
	p := h.pool(call.Pool)
	if p == nil || !p.isActing(h.common.Clock.Now()) {
		return nil, backend.NewNotRunError(ReasonNotHome)
	}
	owner, err := p.owner(call)
	if err != nil {
		return nil, err
	}
	lease, err := p.admission.Acquire(ctx, admission.Request{
		Server:     owner.server,
		Avoid:      call.AvoidServer,
		Background: call.Background || p.info.Service.Background,
		Deadline:   call.Deadline,
	})
	if err != nil {
		refusal := &admission.RefusalError{}
		if errors.As(err, &refusal) {
			return nil, backend.NewNotRunError(refusal.Reason)
		}
		return nil, backend.NewNotRunError(ReasonStopping)
	}
	return p.send(ctx, call, owner, lease)
}

// ownership is the grant under which a keyed request runs.
type ownership struct {
	server string
	shard  string
	fence  int64
}

// owner finds the server of a keyed request in this instance's own record: the
// entry instance's may be older.
func (p *pool) owner(call Attempt) (ownership, error) {
	if p.info.Service.Kind != templates.KindKeyed {
		return ownership{}, nil
	}
	record, _ := p.homes.view.Assignment(p.info.Account, p.info.Service.Name)
	name, entry, found := record.Locate(call.Key)
	if !found || entry.State != assignment.ShardOwned {
		return ownership{}, backend.NewNotRunError(ReasonNoOwner)
	}
	if p.server(entry.Owner) == nil {
		return ownership{}, backend.NewNotRunError(ReasonNotHome)
	}
	return ownership{server: entry.Owner, shard: name, fence: entry.Fence}, nil
}

func (p *pool) send(ctx context.Context, call Attempt, owner ownership, lease *admission.Lease) (*http.Response, error) {
	s := p.server(lease.Server())
	now := p.homes.common.Clock.Now()
	if s == nil || !p.isActing(now) {
		lease.Release()
		return nil, backend.NewNotRunError(ReasonLeaseExpired)
	}
	if owner.shard != "" {
		s.loads.add(owner.shard, call.Key)
	}
	ctx, release := s.bind(ctx)
	answer, err := s.client.Do(ctx, p.request(call, owner, s, now))
	took := p.homes.common.Clock.Now().Sub(now)
	if err != nil {
		p.failed(ctx, s, lease, err, took)
		release()
		return nil, err
	}
	answer.Header.Set(redwingstall.HeaderServer, s.config.Name)
	answer.Body = &leasedBody{ReadCloser: answer.Body, end: func(verdict admission.AttemptResult) {
		lease.EndWithLatency(verdict, took)
		if verdict != admission.AttemptSucceeded {
			s.wake()
		}
		release()
	}}
	return answer, nil
}

// request makes the server's request. Its deadline goes along twice: as the
// time left, and for at-most-once requests as an instant on the server's own
// clock, which a pause on the way does not stretch.
func (p *pool) request(call Attempt, owner ownership, s *server, now time.Time) backend.Request {
	header := call.Header.Clone()
	header.Set(redwingstall.HeaderHome, p.homes.common.Self.ID)
	header.Set(redwingstall.HeaderTimeout, call.Deadline.Sub(now).String())
	isAtMostOnce := p.info.Service.Kind == templates.KindAtMostOnce
	if owner.shard != "" {
		header.Set(redwingstall.HeaderShard, owner.shard)
		header.Set(redwingstall.HeaderFence, strconv.FormatInt(owner.fence, 10))
	}
	if isAtMostOnce {
		s.mu.Lock()
		notAfter := s.issuer.ClockAt(call.Deadline)
		s.mu.Unlock()
		header.Set(redwingstall.HeaderNotAfter, strconv.FormatInt(notAfter.Nanoseconds(), 10))
	}
	path := fmt.Sprintf("/%s/%s", p.info.Service.Name, call.Key)
	if call.Query != "" {
		path += "?" + call.Query
	}
	return backend.Request{
		Method:     call.Method,
		Path:       path,
		Header:     header,
		Body:       call.Body,
		Length:     call.Length,
		ID:         call.RequestID,
		AtMostOnce: isAtMostOnce,
	}
}

// failed teaches the pool from an attempt without an answer.
func (p *pool) failed(ctx context.Context, s *server, lease *admission.Lease, err error, took time.Duration) {
	attempt := &backend.AttemptError{}
	if !errors.As(err, &attempt) {
		lease.EndWithLatency(admission.AttemptFailed, took)
		return
	}
	p.homes.common.Count("attempts." + string(attempt.Outcome) + "." + attempt.Reason)
	switch redwingstall.Refusal(attempt.Reason) {
	case redwingstall.RefusalShed:
		lease.EndWithLatency(admission.AttemptShed, took)
		return
	case redwingstall.RefusalDraining:
		s.noteDraining()
		lease.EndWithLatency(admission.AttemptRefused, took)
		p.refresh(p.homes.common.Clock.Now())
		return
	case redwingstall.RefusalNotOwner, redwingstall.RefusalExpired:
		lease.EndWithLatency(admission.AttemptRefused, took)
		s.wake()
		return
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		lease.EndWithLatency(admission.AttemptCanceled, took)
		s.wake()
		return
	}
	lease.EndWithLatency(admission.AttemptFailed, took)
	s.wake()
}

// leasedBody gives the slot back when the answer has been read or dropped.
type leasedBody struct {
	io.ReadCloser
	once    sync.Once
	verdict admission.AttemptResult
	isRead  bool
	end     func(admission.AttemptResult)
}

func (b *leasedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.isRead = true
	case err != nil:
		b.verdict = admission.AttemptFailed
	}
	return n, err
}

// Close ends the lease. An answer that was not read to its end is still being
// sent, until the server notices.
func (b *leasedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		if !b.isRead && b.verdict == admission.AttemptSucceeded {
			b.verdict = admission.AttemptCanceled
		}
		b.end(b.verdict)
	})
	return err
}

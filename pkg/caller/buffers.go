package caller

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

// buffers bound the bodies that an instance holds in all.
type buffers struct {
	// requests are the bodies of requests by account, and responses those of at-most-once
	// services by service.
	requests  *memory.Budget
	responses *memory.Budget
}

func newBuffers(limits settings.Limits) buffers {
	half := max(limits.BufferedBytes()/2, limits.MaxBodyBytes)
	return buffers{memory.NewBudget(half), memory.NewBudget(half)}
}

const reasonNoMemory = "noMemory"

var errNoMemory = &requestError{http.StatusServiceUnavailable, reasonNoMemory, "the instance holds too many bodies"}

// readResponse reads a whole response of at most limit bytes. It waits for memory until the
// context ends. The caller releases the memory.
func (b buffers) readResponse(ctx context.Context, service string, response *http.Response, limit int64) ([]byte, *memory.Reservation, error) {
	length := response.ContentLength
	if length > limit {
		return nil, nil, errors.Wrapf(http1.ErrTooLong, "%d bytes", length)
	}
	if length < 0 {
		length = limit
	}
	reserved, err := b.responses.Reserve(ctx, service, length, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "memory for the response")
	}
	body, err := http1.ReadBody(response.Body, limit)
	if err != nil {
		reserved.Release()
		return nil, nil, err
	}
	reserved.Keep(int64(len(body)))
	return body, reserved, nil
}

// releasingBody releases memory when it is closed.
type releasingBody struct {
	io.Reader
	reserved *memory.Reservation
	// connection is the context of the connection that the memory is held for.
	connection context.Context
}

// newReleasingBody returns a body in reserved memory, for the client of a context.
func newReleasingBody(ctx context.Context, body io.Reader, reserved *memory.Reservation) releasingBody {
	eviction.Hold(ctx, reserved.Bytes())
	return releasingBody{body, reserved, ctx}
}

// Close releases the memory.
func (b releasingBody) Close() error {
	eviction.Hold(b.connection, -b.reserved.Bytes())
	b.reserved.Release()
	return nil
}

package backends

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

const (
	// maxSmallBody is the size in bytes up to which a body is read whatever its length turns
	// out to be. A longer one needs memory for the longest body, unless its length is known.
	maxSmallBody = 128 << 10
	// minBodyRead is the size in bytes that the memory for a body of unknown length begins with.
	minBodyRead = 4 << 10
	// chunkSize is the size in bytes in which a longer body of unknown length is read.
	chunkSize = 256 << 10
	// freeBytes is the size of a head, and of a body of known length, that needs no reservation,
	// as a connection takes more.
	freeBytes = 4 << 10
	// longHeadMemory is reserved for a longer head: the fields of maxHeadBytes take so much when
	// they are parsed.
	longHeadMemory = 1 << 20
	// suspectTime is how long a server that answered without end waits behind the others for
	// memory.
	suspectTime = 10 * time.Second
)

var (
	// errNoMemory means that there was no memory for a response until the end of the request.
	errNoMemory = errors.New("backends: no memory for the response")
	// errRevoked ends an attempt whose memory others need.
	errRevoked = errors.New("backends: memory of the response revoked")
)

// responseMemory is the memory for the responses that the process holds. Small and large bodies
// have budgets of their own. A response that holds a part of the small one may wait for the large
// one, and none waits the other way round, so that they never wait for each other.
type responseMemory struct {
	small *memory.Budget
	large *memory.Budget
}

// newResponseMemory divides a number of bytes. There is always room for one body of each kind.
func newResponseMemory(bytes int64) responseMemory {
	return responseMemory{memory.NewBudget(max(bytes/2, longHeadMemory)), memory.NewBudget(max(bytes/2, maxAnswerBytes))}
}

// reading is the context in which a response is read.
type reading struct {
	context.Context
	// server is the key of the server, which holds the memory.
	server string
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
}

// isRevoked reports whether the memory for the response was given to others.
func (r reading) isRevoked() bool { return errors.Is(context.Cause(r), errRevoked) }

// reserveBody reserves memory for a body.
func (m responseMemory) reserveBody(ctx reading, bytes int64) (*memory.Reservation, error) {
	if bytes > maxSmallBody {
		return reserve(ctx, m.large, bytes)
	}
	return reserve(ctx, m.small, bytes)
}

func reserve(ctx reading, budget *memory.Budget, bytes int64) (*memory.Reservation, error) {
	r, err := budget.Reserve(ctx, ctx.server, bytes, func() { ctx.cancel(errRevoked) })
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wait for memory"), errNoMemory)
	}
	return r, nil
}

func (m responseMemory) suspect(key string, now time.Time) {
	m.small.Suspect(key, now.Add(suspectTime))
	m.large.Suspect(key, now.Add(suspectTime))
}

// readBody reads a whole body into memory that it reserves.
func (m responseMemory) readBody(ctx reading, answer *http.Response) ([]byte, *memory.Reservation, error) {
	switch {
	case answer.Body == http.NoBody || answer.ContentLength == 0:
		return nil, nil, nil
	case answer.ContentLength > maxAnswerBytes:
		return nil, nil, errors.Wrapf(http1.ErrTooLong, "%d bytes", answer.ContentLength)
	case answer.ContentLength > 0:
		return m.readLength(ctx, answer.Body, answer.ContentLength)
	}
	return m.readUnknown(ctx, answer.Body)
}

func (m responseMemory) readLength(ctx reading, source io.Reader, length int64) ([]byte, *memory.Reservation, error) {
	var r *memory.Reservation
	if length > freeBytes {
		var err error
		if r, err = m.reserveBody(ctx, length); err != nil {
			return nil, nil, err
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(source, body); err != nil {
		r.Release()
		return nil, nil, err
	}
	r.Keep(length)
	return body, r, nil
}

// readUnknown reads a body whose length is not known before its end.
func (m responseMemory) readUnknown(ctx reading, source io.Reader) ([]byte, *memory.Reservation, error) {
	r, err := m.reserveBody(ctx, maxSmallBody)
	if err != nil {
		return nil, nil, err
	}
	body, isWhole, err := fill(make([]byte, 0, minBodyRead), source, maxSmallBody)
	if isWhole || err != nil {
		return finishBody(body, r, err)
	}
	large, err := m.reserveBody(ctx, maxAnswerBytes)
	if err != nil {
		r.Release()
		return nil, nil, err
	}
	r.Release()
	body, err = readChunks(body, source)
	return finishBody(body, large, err)
}

// readChunks reads the rest of a body behind its start. Until the end, it takes no more memory
// than was read.
func readChunks(start []byte, source io.Reader) ([]byte, error) {
	chunks, size := [][]byte{start}, len(start)
	for size < maxAnswerBytes {
		room := min(chunkSize, maxAnswerBytes-size)
		chunk, isWhole, err := fill(make([]byte, 0, room), source, room)
		if err != nil {
			return nil, err
		}
		chunks, size = append(chunks, chunk), size+len(chunk)
		if isWhole {
			return slices.Concat(chunks...), nil
		}
	}
	if err := expectEnd(source); err != nil {
		return nil, err
	}
	return slices.Concat(chunks...), nil
}

// finishBody keeps the reserved memory that a body needs.
func finishBody(body []byte, r *memory.Reservation, err error) ([]byte, *memory.Reservation, error) {
	if err != nil {
		r.Release()
		return nil, nil, err
	}
	r.Keep(int64(cap(body)))
	return body, r, nil
}

// fill reads until the end of the body, or until it has limit bytes. It reports whether the body
// has ended.
func fill(body []byte, source io.Reader, limit int) (filled []byte, isWhole bool, err error) {
	for len(body) < limit {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), limit)), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// expectEnd returns an error unless a body has ended.
func expectEnd(source io.Reader) error {
	var one [1]byte
	switch _, err := io.ReadFull(source, one[:]); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return errors.Wrapf(http1.ErrTooLong, "above %d bytes", maxAnswerBytes)
}

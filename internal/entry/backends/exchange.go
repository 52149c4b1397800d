package backends

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// exchange writes the request and reads the complete response. It reports whether
// the connection can be reused.
func (p *Pool) exchange(ctx reading, c *connection, request Request) (Response, bool, error) {
	written := make(chan error, 1)
	if request.BodyRest == nil && len(request.Body) <= maxInlineBody {
		n, err := c.Write(append(encodeHead(request), request.Body...))
		if err != nil && n == 0 {
			return Response{}, false, &Error{Reason: "write", Cause: err}
		}
		written <- err
	} else {
		go func() { written <- writeRequest(c, request) }()
	}
	answer, reusable, err := p.readMatching(ctx, c, request)
	if err != nil {
		return Response{}, false, p.readError(ctx, c, err)
	}
	select {
	case err := <-written:
		// If the response came before the whole body was written, the server still
		// expects the rest of the body on this connection.
		return answer, reusable && err == nil, nil
	default:
		return answer, false, nil
	}
}

// readError returns the error of an attempt whose response could not be read.
func (p *Pool) readError(ctx reading, c *connection, cause error) *Error {
	failed := &Error{IsSent: true, Reason: "answer", Cause: cause}
	switch {
	case ctx.isRevoked():
		failed.Reason = ReasonMemoryRevoked
	case errors.Is(cause, errNoMemory):
		failed.Reason = ReasonNoMemory
	case errors.Is(cause, errTooLong), errors.Is(cause, http1.ErrTooLong):
		failed.Reason = ReasonEndless
		p.memory.suspect(c.key, time.Now())
	case errors.Is(cause, http1.ErrInvalid):
		failed.Reason = ReasonInvalid
	}
	return failed
}

// maxStrayAnswers bounds how many responses to other requests are skipped.
const maxStrayAnswers = 2

// readMatching reads responses until one carries the id of the request. A connection
// with a response to another request is not reused.
func (p *Pool) readMatching(ctx reading, c *connection, request Request) (Response, bool, error) {
	for stray := 0; ; stray++ {
		answer, hasEnd, err := p.read(ctx, c, request)
		if err != nil {
			return Response{}, false, err
		}
		if answer.Meta.ID == request.ID {
			return answer, hasEnd && stray == 0 && c.reader.Buffered() == 0, nil
		}
		answer.Release()
		c.trace.StrayAnswers++
		p.count("answers.stray")
		if stray == maxStrayAnswers || !hasEnd {
			return Response{}, false, errors.Newf("response to request %q", answer.Meta.ID)
		}
	}
}

// read reads one response. It reports whether the connection continues after it.
func (p *Pool) read(ctx reading, c *connection, request Request) (answerRead Response, hasEnd bool, err error) {
	var head *memory.Reservation
	answer, err := readHead(c, request.Method, func() (err error) {
		head, err = reserve(ctx, p.memory.small, longHeadMemory)
		return err
	})
	if err != nil {
		head.Release()
		return Response{}, false, err
	}
	c.limit.allow(maxAnswerBytes + maxFramingBytes)
	body, held, err := p.memory.readBody(ctx, answer)
	if err != nil {
		// Closing the body would read on.
		head.Release()
		return Response{}, false, err
	}
	if err := http1.CheckFields(answer.Trailer); err != nil {
		head.Release()
		held.Release()
		return Response{}, false, err
	}
	_ = answer.Body.Close()
	head.Keep(longHeadMemory)
	isNotModified := answer.StatusCode == http.StatusNotModified
	if (isNotModified || answer.StatusCode == http.StatusNoContent) && hasBodyBehind(c.reader) {
		head.Release()
		return Response{}, false, errors.Wrapf(http1.ErrInvalid, "status %d with a body", answer.StatusCode)
	}
	isDelimited := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 || request.Method == http.MethodHead
	c.idleFor = idleTime(answer.Header)
	// A 304 may name the length of the body that it leaves out. A faulty server sends the body,
	// which may arrive after the next request.
	hasEnd = isDelimited && !answer.Close && !(isNotModified && answer.Header.Get("Content-Length") != "")
	removeHopHeaders(answer.Header)
	return Response{
		Status: answer.StatusCode, Header: answer.Header, Body: body, Meta: p.protocol.ParseResponse(answer.Header),
		held: []*memory.Reservation{head, held},
	}, hasEnd, nil
}

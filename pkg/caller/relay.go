package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

// copyBufferBytes is the size of the buffer that copies a response body.
const copyBufferBytes = 32 << 10

// bodyRestTime bounds how long the server reads the rest of a request's body after the response. From
// the end of the body it waits for the caller's disconnect instead, until the handler returns. A time-out
// before that would cancel the later requests of the connection.
const bodyRestTime = time.Second

// relayResponse writes a response to the caller. If the server's connection is lost,
// it resumes the download from another server where possible. Otherwise it aborts the
// caller's connection, so that the caller can tell that the body is incomplete.
func (r *Router) relayResponse(ctx context.Context, w http.ResponseWriter, q *request, response *http.Response) {
	markResponseStarted(ctx)
	writeHeader(w, response)
	if q.streamedBody != nil && !q.streamedBody.hasEnded.Load() {
		endRequestBody(w)
		// Bounds what the server reads of the rest after the response.
		defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyRestTime)) }()
	}
	progress := newProgress(response)
	for {
		err := r.copyBody(ctx, w, response, progress)
		_ = response.Body.Close()
		if err == nil {
			return
		}
		response, err = r.resume(ctx, q, progress, err)
		if err != nil {
			r.common.Count("answers.cut")
			panic(http.ErrAbortHandler)
		}
		r.common.Count("answers.resumed")
	}
}

// endRequestBody sends the head of a response, before which the server reads up to 256 KB of the rest
// of the request's body. The read deadline bounds that, and is then removed: with it, a download that
// takes longer would be cancelled.
func endRequestBody(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Time{})
}

func writeHeader(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range endToEndHeader(response.Header) {
		header[name] = values
	}
	for _, name := range []string{redwingstall.HeaderServer, redwingstall.HeaderReplayed} {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
}

// downloadProgress tracks how much of a download has been sent to the caller.
type downloadProgress struct {
	etag   string
	status int
	// start, next and end are byte offsets in the whole content. The response covers
	// start up to but not including end; next is the first byte not yet sent to the
	// caller.
	start int64
	next  int64
	end   int64
	// pool is the pool that the current response comes from.
	pool    string
	resumes int
}

// maxResumes bounds how often one download is resumed.
const maxResumes = 4

func newProgress(response *http.Response) *downloadProgress {
	p := &downloadProgress{
		etag:   response.Header.Get("ETag"),
		status: response.StatusCode,
		end:    response.ContentLength,
		pool:   response.Header.Get(redwingstall.HeaderPool),
	}
	if response.StatusCode == http.StatusPartialContent {
		start, end, _, err := parseContentRange(response.Header.Get("Content-Range"))
		if err != nil {
			p.etag = ""
			return p
		}
		p.start, p.next, p.end = start, start, end+1
	}
	return p
}

// isResumable reports whether the remainder can be requested from another server
// without mixing two versions of the content.
func (p *downloadProgress) isResumable(q *request) bool {
	hasStrongETag := p.etag != "" && !strings.HasPrefix(p.etag, "W/")
	isContentStatus := p.status == http.StatusOK || p.status == http.StatusPartialContent
	return q.method == http.MethodGet && hasStrongETag && isContentStatus && p.end > 0
}

// errCallerConnection marks errors of the caller's connection.
var errCallerConnection = errors.New("caller: connection closed by the caller")

// copyBody copies the body until its end, an error, or a stall of the server. A slow caller slows
// the server down by flow control, and is cut off while others wait for the server's slot.
func (r *Router) copyBody(ctx context.Context, w http.ResponseWriter, response *http.Response, p *downloadProgress) error {
	stallTimer := time.AfterFunc(r.common.Settings.Policy.StallTimeout, func() { _ = response.Body.Close() })
	defer stallTimer.Stop()
	buffer := make([]byte, copyBufferBytes)
	eviction.Hold(ctx, copyBufferBytes)
	defer eviction.Hold(ctx, -copyBufferBytes)
	server := response.Header.Get(redwingstall.HeaderServer)
	w = newStallWriter(w, func() bool { return r.isWaitedFor(p.pool, server) }, r.common.Count)
	flusher := http.NewResponseController(w)
	for {
		stallTimer.Reset(r.common.Settings.Policy.StallTimeout)
		n, err := response.Body.Read(buffer)
		stallTimer.Stop()
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Mark(writeErr, errCallerConnection)
			}
			p.next += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return p.checkComplete(response)
		case err != nil:
			return err
		case ctx.Err() != nil:
			return errors.Mark(ctx.Err(), errCallerConnection)
		}
		if response.ContentLength < 0 {
			// A response of unknown length may be a stream.
			if err := flusher.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return errors.Mark(err, errCallerConnection)
			}
		}
	}
}

// checkComplete returns an error if the body is shorter than its header states.
func (p *downloadProgress) checkComplete(response *http.Response) error {
	if response.ContentLength >= 0 && p.end >= 0 && p.next < p.end && response.Request.Method != http.MethodHead {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// resume requests the remainder of a download from another server, and checks that
// the response continues the same content at the same offset.
func (r *Router) resume(ctx context.Context, q *request, p *downloadProgress, cause error) (*http.Response, error) {
	if errors.Is(cause, errCallerConnection) || !p.isResumable(q) || p.next >= p.end {
		return nil, cause
	}
	// A resume requests only the missing part, so it adds no load and needs no retry
	// budget. Its number is bounded so that it ends.
	p.resumes++
	if p.resumes > maxResumes {
		r.common.Count("resumes.refused.often")
		return nil, cause
	}
	header := q.header.Clone()
	header.Set("Range", fmt.Sprintf("bytes=%d-%d", p.next, p.end-1))
	header.Set("If-Range", p.etag)
	remainder := *q
	remainder.avoidPool = p.pool
	remainder.deadline = r.now().Add(r.common.Settings.Policy.DefaultTimeout)
	response, err := r.sendRemainder(ctx, &remainder, header)
	if err != nil {
		return nil, err
	}
	if err := p.acceptRemainder(response); err != nil {
		r.common.Count("resumes.refused.changed")
		_ = response.Body.Close()
		return nil, err
	}
	p.pool = response.Header.Get(redwingstall.HeaderPool)
	return response, nil
}

// errContentChanged reports a remainder that does not continue the same content.
var errContentChanged = errors.New("caller: content changed during the download")

// acceptRemainder checks that a response continues where the download stopped. A
// server may ignore the range and send the same content in full; the bytes already
// sent are then skipped.
func (p *downloadProgress) acceptRemainder(response *http.Response) error {
	if response.Header.Get("ETag") != p.etag {
		return errContentChanged
	}
	if response.StatusCode == http.StatusOK && p.start == 0 && response.ContentLength == p.end {
		_, err := io.CopyN(io.Discard, response.Body, p.next)
		return errors.Wrap(err, "caller: skip bytes already sent")
	}
	start, end, _, err := parseContentRange(response.Header.Get("Content-Range"))
	if err != nil || response.StatusCode != http.StatusPartialContent || start != p.next || end != p.end-1 {
		return errContentChanged
	}
	return nil
}

// sendRemainder is like send, but the deadline bounds only the wait for the start of
// the response.
func (r *Router) sendRemainder(ctx context.Context, q *request, header http.Header) (*http.Response, error) {
	deadline, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	ctx, _ = r.responseContext(ctx, deadline)
	response, err := r.send(ctx, q, header)
	markResponseStarted(ctx)
	return response, err
}

// parseContentRange parses "bytes start-end/total", where end is inclusive.
func parseContentRange(text string) (start, end, total int64, err error) {
	rangeText, found := strings.CutPrefix(text, "bytes ")
	span, size, hasSize := strings.Cut(rangeText, "/")
	first, last, hasSpan := strings.Cut(span, "-")
	if !found || !hasSize || !hasSpan {
		return 0, 0, 0, errors.Newf("caller: invalid content range %q", text)
	}
	numbers := [3]int64{}
	for i, part := range []string{first, last, size} {
		numbers[i], err = strconv.ParseInt(part, 10, 64)
		if err != nil || numbers[i] < 0 {
			return 0, 0, 0, errors.Newf("caller: invalid content range %q", text)
		}
	}
	return numbers[0], numbers[1], numbers[2], nil
}

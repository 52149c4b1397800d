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
)

const copyBytes = 32 << 10

// pass writes an answer to the caller. An answer that is cut on the way is
// resumed from another server where it can be; else the caller's connection is
// cut too, so that the cut shows.
func (r *Router) pass(ctx context.Context, w http.ResponseWriter, q *request, answer *http.Response) {
	beginAnswer(ctx)
	writeHeader(w, answer)
	progress := newProgress(answer)
	for {
		err := r.copyBody(ctx, w, answer, progress)
		_ = answer.Body.Close()
		if err == nil {
			return
		}
		answer, err = r.resume(ctx, q, progress, err)
		if err != nil {
			r.common.Count("answers.cut")
			panic(http.ErrAbortHandler)
		}
		r.common.Count("answers.resumed")
	}
}

func writeHeader(w http.ResponseWriter, answer *http.Response) {
	header := w.Header()
	for name, values := range cleanHeader(answer.Header) {
		header[name] = values
	}
	for _, name := range []string{redwingstall.HeaderServer, redwingstall.HeaderReplayed} {
		if value := answer.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.StatusCode)
}

// progress is how far a download has come.
type progress struct {
	tag    string
	status int
	// start and total are offsets in the whole content; next is the first byte
	// that the caller has not got.
	start int64
	next  int64
	end   int64
	// pool is where the present answer comes from.
	pool    string
	resumes int
}

// maxResumes bounds the servers that one download is continued from.
const maxResumes = 4

func newProgress(answer *http.Response) *progress {
	p := &progress{
		tag:    answer.Header.Get("ETag"),
		status: answer.StatusCode,
		end:    answer.ContentLength,
		pool:   answer.Header.Get(redwingstall.HeaderPool),
	}
	if answer.StatusCode == http.StatusPartialContent {
		start, end, _, err := parseContentRange(answer.Header.Get("Content-Range"))
		if err != nil {
			p.tag = ""
			return p
		}
		p.start, p.next, p.end = start, start, end+1
	}
	return p
}

// isResumable reports whether the rest can be asked of another server without
// the risk of mixing two contents.
func (p *progress) isResumable(q *request) bool {
	isStrong := p.tag != "" && !strings.HasPrefix(p.tag, "W/")
	isContent := p.status == http.StatusOK || p.status == http.StatusPartialContent
	return q.method == http.MethodGet && isStrong && isContent && p.end > 0
}

// errWrite is a caller that takes no more.
var errWrite = errors.New("caller: the connection is gone")

// copyBody copies until the end, a failure, or a stall. Only the wait for the
// server counts as a stall: a slow caller holds the server back, which is what
// flow control is for.
func (r *Router) copyBody(ctx context.Context, w http.ResponseWriter, answer *http.Response, p *progress) error {
	stalled := time.AfterFunc(r.common.Settings.Policy.StallTimeout, func() { _ = answer.Body.Close() })
	defer stalled.Stop()
	buffer := make([]byte, copyBytes)
	flusher := http.NewResponseController(w)
	for {
		stalled.Reset(r.common.Settings.Policy.StallTimeout)
		n, err := answer.Body.Read(buffer)
		stalled.Stop()
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return errors.Mark(failed, errWrite)
			}
			p.next += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return p.checkEnd(answer)
		case err != nil:
			return err
		case ctx.Err() != nil:
			return errors.Mark(ctx.Err(), errWrite)
		}
		if answer.ContentLength < 0 {
			_ = flusher.Flush() // an answer of unknown length may be a stream
		}
	}
}

// checkEnd refuses a body that is shorter than its header says.
func (p *progress) checkEnd(answer *http.Response) error {
	if answer.ContentLength >= 0 && p.end >= 0 && p.next < p.end && answer.Request.Method != http.MethodHead {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// resume asks for the rest of a download. The answer must be that very rest of
// that very content.
func (r *Router) resume(ctx context.Context, q *request, p *progress, cause error) (*http.Response, error) {
	if errors.Is(cause, errWrite) || !p.isResumable(q) || p.next >= p.end {
		return nil, cause
	}
	// A resume asks for the missing part only, so that it is no extra load and
	// needs no budget; but it must not go on for ever.
	p.resumes++
	if p.resumes > maxResumes {
		r.common.Count("resumes.refused.often")
		return nil, cause
	}
	header := q.header.Clone()
	header.Set("Range", fmt.Sprintf("bytes=%d-%d", p.next, p.end-1))
	header.Set("If-Range", p.tag)
	again := *q
	again.avoid = p.pool
	again.deadline = r.now().Add(r.common.Settings.Policy.DefaultTimeout)
	answer, err := r.sendRest(ctx, &again, header)
	if err != nil {
		return nil, err
	}
	if err := p.takeRest(answer); err != nil {
		r.common.Count("resumes.refused.changed")
		_ = answer.Body.Close()
		return nil, err
	}
	p.pool = answer.Header.Get(redwingstall.HeaderPool)
	return answer, nil
}

// errChanged is a rest of another content.
var errChanged = errors.New("caller: the content has changed")

// takeRest makes sure that an answer goes on where the download stopped. A
// server may ignore the range and send the same content whole.
func (p *progress) takeRest(answer *http.Response) error {
	if answer.Header.Get("ETag") != p.tag {
		return errChanged
	}
	if answer.StatusCode == http.StatusOK && p.start == 0 && answer.ContentLength == p.end {
		_, err := io.CopyN(io.Discard, answer.Body, p.next)
		return errors.Wrap(err, "caller: skip")
	}
	start, end, _, err := parseContentRange(answer.Header.Get("Content-Range"))
	if err != nil || answer.StatusCode != http.StatusPartialContent || start != p.next || end != p.end-1 {
		return errChanged
	}
	return nil
}

// sendRest is send with a deadline for the answer's beginning only.
func (r *Router) sendRest(ctx context.Context, q *request, header http.Header) (*http.Response, error) {
	deadline, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	ctx, _ = r.answerContext(ctx, deadline)
	answer, err := r.send(ctx, q, header)
	beginAnswer(ctx)
	return answer, err
}

// parseContentRange reads "bytes start-end/total"; end is inclusive.
func parseContentRange(text string) (start, end, total int64, err error) {
	rest, found := strings.CutPrefix(text, "bytes ")
	span, size, cutSize := strings.Cut(rest, "/")
	first, last, cutSpan := strings.Cut(span, "-")
	if !found || !cutSize || !cutSpan {
		return 0, 0, 0, errors.Newf("caller: content range %q", text)
	}
	numbers := [3]int64{}
	for i, part := range []string{first, last, size} {
		numbers[i], err = strconv.ParseInt(part, 10, 64)
		if err != nil || numbers[i] < 0 {
			return 0, 0, 0, errors.Newf("caller: content range %q", text)
		}
	}
	return numbers[0], numbers[1], numbers[2], nil
}

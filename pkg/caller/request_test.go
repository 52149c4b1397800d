package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

func findTestService(_, service string) (templates.Service, bool) {
	kinds := map[string]templates.Kind{
		"catalogue": templates.KindKeyed, "pack": templates.KindReplicated, "licence": templates.KindAtMostOnce,
	}
	return templates.Service{Name: service, Kind: kinds[service]}, kinds[service] != ""
}

func parseTestRequest(r *http.Request) (*request, *requestError) {
	s := settings.Default()
	s.Limits.MaxBodyBytes = 1000
	q, invalid := parseRequest(r, findTestService, s.Policy, time.Unix(0, 0))
	if invalid == nil {
		invalid = q.readBody(r, s.Limits, memory.NewBudget(s.Limits.MaxBufferedBytes))
	}
	return q, invalid
}

// Guards against many bodies that are each within their limit, but not all together.
func TestBodiesBeyondTheBufferedBytesAreRefused(t *testing.T) {
	limits := settings.Default().Limits
	limits.MaxBodyBytes = 1000
	budget := memory.NewBudget(2500)
	read := func(account string, length int64) (*request, *requestError) {
		q := &request{account: account, service: templates.Service{Kind: templates.KindAtMostOnce}, idempotencyKey: "k"}
		r := httptest.NewRequest(http.MethodPost, "/v1/z/licence/x", strings.NewReader(strings.Repeat("x", 1000)))
		r.ContentLength = length
		return q, q.readBody(r, limits, budget)
	}
	first, invalid := read("a", 1000)
	require.Nil(t, invalid)
	_, invalid = read("a", 1000)
	require.Equal(t, errNoMemory, invalid, "an account has half")
	second, invalid := read("b", -1)
	require.Nil(t, invalid)
	_, invalid = read("c", 1000)
	require.Equal(t, errNoMemory, invalid)
	require.Equal(t, http.StatusServiceUnavailable, invalid.status)
	first.release()
	third, invalid := read("c", 1000)
	require.Nil(t, invalid)
	second.release()
	third.release()
	third.release()
	require.Zero(t, budget.Used())
}

// Guards against responses of at-most-once services that are each within their limit, but not
// all together.
func TestResponsesWaitForBufferedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBuffers(settings.Limits{MaxBufferedBytes: 2000})
		read := func(ctx context.Context, length int64) ([]byte, *memory.Reservation, error) {
			return b.readResponse(ctx, "z/licence", &http.Response{ContentLength: length, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 400)))}, 1000)
		}
		body, first, err := read(t.Context(), -1)
		require.NoError(t, err)
		require.Len(t, body, 400)
		require.EqualValues(t, 400, b.responses.Used(), "what is not needed is free again")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = read(ctx, 800)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		_, _, err = read(t.Context(), 1001)
		require.ErrorIs(t, err, http1.ErrTooLong)
		first.Release()
		_, second, err := read(t.Context(), -1)
		require.NoError(t, err)
		second.Release()
		require.Zero(t, b.responses.Used())
	})
}

func TestInvalidRequestsAreRefusedWithReason(t *testing.T) {
	for _, row := range []struct {
		name, method, path, header, value, body, reason string
	}{
		{"short path", "GET", "/v1/z/catalogue", "", "", "", "badPath"},
		{"empty part", "GET", "/v1/z/catalogue//x", "", "", "", "badPath"},
		{"dots", "GET", "/v1/z/catalogue/../x", "", "", "", "badPath"},
		{"escaped dots", "GET", "/v1/z/catalogue/%2e%2e/x", "", "", "", "badPath"},
		{"line end", "GET", "/v1/z/catalogue/a%0d%0ab", "", "", "", "badPath"},
		{"many parts", "GET", "/v1/z/catalogue/" + strings.Repeat("a/", 20) + "a", "", "", "", "badPath"},
		{"long", "GET", "/v1/z/catalogue/" + strings.Repeat("a", 2000), "", "", "", "badPath"},
		{"service", "GET", "/v1/z/nothing/x", "", "", "", "unknownService"},
		{"id", "GET", "/v1/z/catalogue/x", "Request-Id", "a b", "", "badRequestId"},
		{"timeout", "GET", "/v1/z/catalogue/x", "Redwing-Timeout", "-1s", "", "badTimeout"},
		{"endless", "GET", "/v1/z/catalogue/x", "Redwing-Timeout", "10h", "", "badTimeout"},
		{"no idempotency key", "POST", "/v1/z/licence/x", "", "", "x", "noIdempotencyKey"},
		{"invalid idempotency key", "POST", "/v1/z/licence/x", "Idempotency-Key", "a b", "x", "badIdempotencyKey"},
		{"body", "POST", "/v1/z/catalogue/x", "", "", strings.Repeat("x", 1001), "bodyTooLarge"},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := httptest.NewRequest(row.method, row.path, strings.NewReader(row.body))
			if row.header != "" {
				r.Header.Set(row.header, row.value)
			}
			_, invalid := parseTestRequest(r)
			require.NotNil(t, invalid)
			require.Equal(t, row.reason, invalid.reason)
		})
	}
}

// Two spellings of one key must not be routed as two keys, which could have two
// owners.
func TestEquivalentEscapingsYieldTheSameKey(t *testing.T) {
	for _, path := range []string{"/v1/z/catalogue/a%20b/c", "/v1/z/catalogue/%61%20b/c"} {
		q, invalid := parseTestRequest(httptest.NewRequest("GET", path, nil))
		require.Nil(t, invalid)
		require.Equal(t, "a%20b/c", q.key)
	}
}

// A caller must not set the headers that instances use among themselves, and headers
// of the caller's connection must not reach a server.
func TestHopByHopAndInternalHeadersAreRemoved(t *testing.T) {
	header := http.Header{
		"Connection": {"X-Private"}, "X-Private": {"1"}, "Redwing-Fence": {"9"}, "Transfer-Encoding": {"chunked"},
		"Accept": {"text/plain"},
	}
	require.Equal(t, http.Header{"Accept": {"text/plain"}}, endToEndHeader(header))
}

// A body of unknown length is not checked before it is sent, so the limit must also
// hold while it is read.
func TestStreamedBodyAboveTheLimitFails(t *testing.T) {
	r := httptest.NewRequest("PUT", "/v1/z/catalogue/x", io.LimitReader(strings.NewReader(strings.Repeat("x", 2000)), 2000))
	r.ContentLength = -1
	q, invalid := parseTestRequest(r)
	require.Nil(t, invalid)
	require.False(t, q.isBodyConsumed())
	_, err := io.ReadAll(q.body())
	require.ErrorIs(t, err, errBodyTooLarge)
	require.True(t, q.isBodyConsumed())
}

// If two requests had the same digest, a reused idempotency key would replay the
// response of the other request.
func TestDigestDiffersBetweenRequests(t *testing.T) {
	digests := map[string]bool{}
	for _, path := range []string{"/v1/z/licence/x", "/v1/z/licence/y", "/v1/z/licence/x?q=1"} {
		for _, body := range []string{"1", "2"} {
			r := httptest.NewRequest("POST", path, strings.NewReader(body))
			r.Header.Set("Idempotency-Key", "k")
			q, invalid := parseTestRequest(r)
			require.Nil(t, invalid)
			digests[q.digest()] = true
		}
	}
	require.Len(t, digests, 6)
}

func FuzzSplitPath(f *testing.F) {
	f.Add("/v1/z/catalogue/key")
	f.Add("/v1/z/catalogue/%2e%2e/%00")
	f.Fuzz(func(t *testing.T, text string) {
		address, err := url.ParseRequestURI(text)
		if err != nil {
			return
		}
		_, _, key, invalid := splitPath(address)
		if invalid != nil {
			return
		}
		for part := range strings.SplitSeq(key, "/") {
			require.NotContains(t, []string{"", ".", ".."}, part)
			require.NotContains(t, part, "\n")
		}
	})
}

func FuzzParseContentRange(f *testing.F) {
	f.Add("bytes 0-9/10")
	f.Add("bytes */10")
	f.Fuzz(func(t *testing.T, text string) {
		start, end, total, err := parseContentRange(text)
		if err == nil {
			require.True(t, start >= 0 && end >= 0 && total >= 0)
		}
	})
}

// A resumed download must not join parts of two contents or leave a gap.
func TestResumedDownloadAcceptsOnlyRemainderOfSameContent(t *testing.T) {
	newResponse := func(status int, tag, span, body string) *http.Response {
		return &http.Response{
			StatusCode: status, Header: http.Header{"Etag": {tag}, "Content-Range": {span}},
			Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		}
	}
	for _, row := range []struct {
		name      string
		response  *http.Response
		remainder string
	}{
		{"the remainder", newResponse(206, `"a"`, "bytes 4-9/10", "456789"), "456789"},
		{"the full content again", newResponse(200, `"a"`, "", "0123456789"), "456789"},
		{"another tag", newResponse(206, `"b"`, "bytes 4-9/10", "456789"), ""},
		{"the full content with another tag", newResponse(200, `"b"`, "", "0123456789"), ""},
		{"another length", newResponse(200, `"a"`, "", "012345678"), ""},
		{"another offset", newResponse(206, `"a"`, "bytes 5-9/10", "56789"), ""},
		{"an incomplete remainder", newResponse(206, `"a"`, "bytes 4-8/10", "45678"), ""},
		{"an error status", newResponse(404, `"a"`, "", "456789"), ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := &downloadProgress{etag: `"a"`, status: 200, next: 4, end: 10}
			err := p.acceptRemainder(row.response)
			if row.remainder == "" {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			remainder, err := io.ReadAll(row.response.Body)
			require.NoError(t, err)
			require.Equal(t, row.remainder, string(remainder))
		})
	}
}

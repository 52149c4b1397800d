package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

func find(_, service string) (templates.Service, bool) {
	kinds := map[string]templates.Kind{
		"catalogue": templates.KindKeyed, "pack": templates.KindReplicated, "licence": templates.KindAtMostOnce,
	}
	return templates.Service{Name: service, Kind: kinds[service]}, kinds[service] != ""
}

func parseTest(r *http.Request) (*request, *problem) {
	s := settings.Default()
	s.Limits.MaxBodyBytes = 1000
	return parse(r, find, s.Policy, s.Limits, time.Unix(0, 0))
}

func TestBadRequestsAreRefusedWithTheirReason(t *testing.T) {
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
		{"no key", "POST", "/v1/z/licence/x", "", "", "x", "noIdempotencyKey"},
		{"bad key", "POST", "/v1/z/licence/x", "Idempotency-Key", "a b", "x", "badIdempotencyKey"},
		{"body", "POST", "/v1/z/catalogue/x", "", "", strings.Repeat("x", 1001), "bodyTooLarge"},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := httptest.NewRequest(row.method, row.path, strings.NewReader(row.body))
			if row.header != "" {
				r.Header.Set(row.header, row.value)
			}
			_, bad := parseTest(r)
			require.NotNil(t, bad)
			require.Equal(t, row.reason, bad.reason)
		})
	}
}

func TestOneKeyHasOneSpelling(t *testing.T) {
	for _, path := range []string{"/v1/z/catalogue/a%20b/c", "/v1/z/catalogue/%61%20b/c"} {
		q, bad := parseTest(httptest.NewRequest("GET", path, nil))
		require.Nil(t, bad)
		require.Equal(t, "a%20b/c", q.key)
	}
}

func TestHeadersOfOneConnectionAndOurOwnStay(t *testing.T) {
	header := http.Header{
		"Connection": {"X-Private"}, "X-Private": {"1"}, "Redwing-Fence": {"9"}, "Transfer-Encoding": {"chunked"},
		"Accept": {"text/plain"},
	}
	require.Equal(t, http.Header{"Accept": {"text/plain"}}, cleanHeader(header))
}

func TestStreamedBodyAboveTheLimitIsCut(t *testing.T) {
	r := httptest.NewRequest("PUT", "/v1/z/catalogue/x", io.LimitReader(strings.NewReader(strings.Repeat("x", 2000)), 2000))
	r.ContentLength = -1
	q, bad := parseTest(r)
	require.Nil(t, bad)
	require.False(t, q.isSpent())
	_, err := io.ReadAll(q.body())
	require.ErrorIs(t, err, errBodyTooLarge)
	require.True(t, q.isSpent())
}

func TestDigestTellsRequestsApart(t *testing.T) {
	digests := map[string]bool{}
	for _, path := range []string{"/v1/z/licence/x", "/v1/z/licence/y", "/v1/z/licence/x?q=1"} {
		for _, body := range []string{"1", "2"} {
			r := httptest.NewRequest("POST", path, strings.NewReader(body))
			r.Header.Set("Idempotency-Key", "k")
			q, bad := parseTest(r)
			require.Nil(t, bad)
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
		_, _, key, bad := splitPath(address)
		if bad != nil {
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

func TestOnlyTheRestOfTheSameContentIsTaken(t *testing.T) {
	answer := func(status int, tag, span, body string) *http.Response {
		return &http.Response{
			StatusCode: status, Header: http.Header{"Etag": {tag}, "Content-Range": {span}},
			Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		}
	}
	for _, row := range []struct {
		name   string
		answer *http.Response
		rest   string
	}{
		{"the rest", answer(206, `"a"`, "bytes 4-9/10", "456789"), "456789"},
		{"the whole again", answer(200, `"a"`, "", "0123456789"), "456789"},
		{"another tag", answer(206, `"b"`, "bytes 4-9/10", "456789"), ""},
		{"the whole of another", answer(200, `"b"`, "", "0123456789"), ""},
		{"another length", answer(200, `"a"`, "", "012345678"), ""},
		{"another place", answer(206, `"a"`, "bytes 5-9/10", "56789"), ""},
		{"too little", answer(206, `"a"`, "bytes 4-8/10", "45678"), ""},
		{"an error", answer(404, `"a"`, "", "456789"), ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := &progress{tag: `"a"`, status: 200, next: 4, end: 10}
			err := p.takeRest(row.answer)
			if row.rest == "" {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			rest, err := io.ReadAll(row.answer.Body)
			require.NoError(t, err)
			require.Equal(t, row.rest, string(rest))
		})
	}
}

package dispatch_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// accountFixture is a dispatcher of a deployment with client accounts, in fake time.
type accountFixture struct {
	*fixture
	log   *bytes.Buffer
	began time.Time

	mu sync.Mutex
	// received are the headers that servers got.
	received []http.Header
}

func (f *accountFixture) clock() time.Duration { return time.Hour + time.Since(f.began) }

func newAccountFixture(policy accounts.Policy) *accountFixture {
	f := &accountFixture{log: &bytes.Buffer{}, began: time.Now()}
	f.fixture = newFixture(func(_ int, _ string, r backends.Request) (backends.Response, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.received = append(f.received, r.Header)
		return signed(200), nil
	})
	f.dispatcher.Clock, f.dispatcher.Accounts = f.clock, policy
	f.dispatcher.Log = slog.New(slog.NewJSONHandler(f.log, nil))
	f.configure(2, []redwingstall.ClientAccount{{Name: "oak", Keys: []string{"oak-key"}}, {Name: "elm", Keys: []string{"elm-key"}, Priority: 3, HasPriority: true}})
	f.view.Confirm(f.clock())
	return f
}

func (f *accountFixture) configure(version int64, list []redwingstall.ClientAccount) {
	c := configuration()
	c.Version, c.Accounts, c.Routes[4].AllowsAnonymous = version, list, true
	long := c.Routes[0]
	long.Name, long.Prefix, long.Timeout = "long", "/long/", time.Minute
	c.Routes = append(c.Routes, long)
	f.view.Apply(time.Now(), []redwingstall.Event{redwingstall.ConfigurationChanged{Configuration: c}}, false)
}

// send sends a request and returns the status and the account's name that the server got, or
// "none" if it got the request without one.
func (f *accountFixture) send(t *testing.T, path string, headers ...string) (status int, account string) {
	t.Helper()
	f.received = nil
	answer := f.get(t.Context(), path, headers...)
	if len(f.received) == 0 {
		return answer.Status, ""
	}
	header := f.received[0]
	require.NotContains(t, header, "Authorization")
	if len(header["Tenant"]) == 0 {
		return answer.Status, "none"
	}
	require.Len(t, header["Tenant"], 1)
	return answer.Status, header.Get("Tenant")
}

// Guards against requests without a valid key that run, and against a server that sees a key or
// a name that the client chose.
func TestRequestsNeedTheKeyOfAnAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{StrictRevocation: true, RevocationTimeout: 5 * time.Second})
		for name, c := range map[string]struct {
			path    string
			headers []string
			status  int
			account string
		}{
			"key":                 {"/safe/x", []string{"Authorization", "Bearer oak-key"}, 200, "oak"},
			"schemeInOtherCase":   {"/safe/x", []string{"Authorization", "bearer  oak-key "}, 200, "oak"},
			"claimedName":         {"/safe/x", []string{"Authorization", "Bearer oak-key", "Tenant", "elm"}, 200, "oak"},
			"nameOfConnection":    {"/safe/x", []string{"Authorization", "Bearer oak-key", "Connection", "Tenant, Authorization"}, 200, "oak"},
			"noKey":               {"/safe/x", []string{"Tenant", "oak"}, 401, ""},
			"unknownKey":          {"/safe/x", []string{"Authorization", "Bearer oak-kex"}, 401, ""},
			"otherScheme":         {"/safe/x", []string{"Authorization", "Basic oak-key"}, 401, ""},
			"noScheme":            {"/safe/x", []string{"Authorization", "oak-key"}, 401, ""},
			"anonymous":           {"/upload/x", []string{"Tenant", "oak"}, 200, "none"},
			"anonymousWithKey":    {"/upload/x", []string{"Authorization", "Bearer elm-key"}, 200, "elm"},
			"anonymousWrongKey":   {"/upload/x", []string{"Authorization", "Bearer x", "Tenant", "oak"}, 200, "none"},
			"keyed":               {"/keyed/x", []string{"Authorization", "Bearer elm-key", "Shard-Key", "5"}, 200, "elm"},
			"emptyKey":            {"/safe/x", []string{"Authorization", "Bearer "}, 401, ""},
			"longKey":             {"/safe/x", []string{"Authorization", "Bearer " + string(bytes.Repeat([]byte{'k'}, 8<<10))}, 401, ""},
			"nameOfConnection401": {"/safe/x", []string{"Connection", "Authorization"}, 401, ""},
		} {
			status, account := f.send(t, c.path, c.headers...)
			require.Equal(t, c.status, status, name)
			require.Equal(t, c.account, account, name)
		}
		require.Contains(t, f.log.String(), `"cause":"unknownKey"`)
		require.NotContains(t, f.log.String(), "oak-ke")
	})
}

// Guards against a header that is there twice, of which a proxy could have checked the other one.
func TestTwoCredentialsAreNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{})
		header := answerOf(0, "Request-Id", "id").Header
		header["Authorization"] = []string{"Bearer oak-key", "Bearer oak-key"}
		require.Equal(t, 401, f.get(t.Context(), "/safe/x").Status)
		require.Contains(t, f.log.String(), `"cause":"noKey"`)
	})
}

// Guards against a deployment without client accounts that loses its own headers.
func TestHeadersPassWithoutAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{StrictRevocation: true, RevocationTimeout: 5 * time.Second})
		f.configure(3, nil)
		time.Sleep(time.Minute) // no age of the knowledge matters
		require.Equal(t, 200, f.get(t.Context(), "/safe/x", "Authorization", "Digest x", "Tenant", "own").Status)
		require.Equal(t, "Digest x", f.received[0].Get("Authorization"))
		require.Equal(t, "own", f.received[0].Get("Tenant"))
	})
}

// Guards against a removed key that runs at an instance which has not learned of its removal, and
// against refusals of keys before the bound, of anonymous requests, or for good.
func TestOldKnowledgeIsNoBasisForAKey(t *testing.T) {
	for _, isStrict := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newAccountFixture(accounts.Policy{StrictRevocation: isStrict, RevocationTimeout: 5 * time.Second})
			for range 80 {
				age := f.clock() - f.view.ConfirmedAt()
				known, _ := f.send(t, "/safe/x", "Authorization", "Bearer oak-key")
				unknown := f.get(t.Context(), "/safe/x", "Authorization", "Bearer new-key")
				anonymous, _ := f.send(t, "/upload/x", "Authorization", "Bearer oak-key")
				require.Equal(t, 200, anonymous)
				require.Equal(t, age > time.Second, unknown.Status == 503, age)
				require.Equal(t, age <= time.Second, unknown.Status == 401, age)
				switch {
				case !isStrict || age <= 3700*time.Millisecond:
					require.Equal(t, 200, known, age)
				case age > 4*time.Second:
					require.Equal(t, 503, known, age)
				}
				if unknown.Status == 503 {
					seconds, err := strconv.ParseFloat(unknown.Header.Get("Retry-After"), 64)
					require.NoError(t, err)
					require.Positive(t, seconds)
				}
				time.Sleep(77 * time.Millisecond)
			}
			f.view.Confirm(f.clock())
			known, _ := f.send(t, "/safe/x", "Authorization", "Bearer oak-key")
			require.Equal(t, 200, known, "knowledge is fresh again")
		})
	}
}

// Guards against a request that is judged by what is known when it is served, not when it arrived:
// the process may have been suspended between the two.
func TestKnowledgeIsAsOldAsWhenTheRequestArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{StrictRevocation: true, RevocationTimeout: 5 * time.Second})
		serve := func(arrived time.Time) int {
			header := answerOf(0, "Request-Id", "id", "Authorization", "Bearer oak-key").Header
			return f.dispatcher.Serve(t.Context(), dispatch.Request{Method: "GET", Target: "/long/x", Path: "/long/x", Host: "h", Header: header, Arrived: arrived}).Status
		}
		arrived := time.Now()
		time.Sleep(10 * time.Second)
		require.Equal(t, 200, serve(arrived), "the process was stopped after the request had arrived")
		require.Equal(t, 503, serve(time.Now()))
		f.view.Confirm(f.clock())
		require.Equal(t, 200, serve(time.Now()))
		f.began = f.began.Add(-10 * time.Second) // the machine slept: only the clock that counts it went on
		require.Equal(t, 503, serve(time.Now()))
	})
}

// countingCounter holds the names of counters.
type countingCounter struct {
	discardCounter
	counts map[string]int
}

func (c *countingCounter) Count(name string) { c.counts[name]++ }

// Guards against counters without bound, and against names that split a line of the metrics.
func TestCountersOfAccountsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{})
		counter := &countingCounter{counts: map[string]int{}}
		f.dispatcher.Counter = counter
		list := []redwingstall.ClientAccount{{Name: "a b\u2028", Keys: []string{"odd"}}}
		for i := range 1000 {
			list = append(list, redwingstall.ClientAccount{Name: strconv.Itoa(i), Keys: []string{"k" + strconv.Itoa(i)}})
		}
		f.configure(3, list)
		require.Equal(t, 200, f.get(t.Context(), "/safe/x", "Authorization", "Bearer odd").Status)
		for i := range 1000 {
			require.Equal(t, 200, f.get(t.Context(), "/safe/x", "Authorization", "Bearer k"+strconv.Itoa(i)).Status)
		}
		require.Equal(t, 1, counter.counts["accounts.served.a_b_"])
		require.Equal(t, 901, counter.counts["accounts.served.other"])
		require.Less(t, len(counter.counts), 150)
	})
}

// Guards against a priority of the account that does not count.
func TestPriorityOfTheAccountPrecedesThatOfTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{})
		f.get(t.Context(), "/safe/x", "Authorization", "Bearer oak-key")
		f.get(t.Context(), "/safe/x", "Authorization", "Bearer elm-key")
		require.Contains(t, f.log.String(), `"account":"oak","priority":0`)
		require.Contains(t, f.log.String(), `"account":"elm","priority":3`)
	})
}

// fakeQuota admits as many requests as it has credit.
type fakeQuota struct{ credit int }

func (q *fakeQuota) Admit(_ time.Time, account string) (bool, time.Duration) {
	if account != "oak" || q.credit > 0 {
		q.credit--
		return true, 0
	}
	return false, 700 * time.Millisecond
}

func (q *fakeQuota) Refund(time.Time, string) { q.credit++ }

// Guards against requests over quota that run, clients that return before there is credit, and
// credit that is lost to requests that have not run.
func TestQuotaOfAnAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{})
		quota := &fakeQuota{credit: 2}
		f.dispatcher.Quota = quota
		oak := []string{"Authorization", "Bearer oak-key"}
		require.Equal(t, 200, f.get(t.Context(), "/safe/x", oak...).Status)
		f.backends.script = func(int, string, backends.Request) (backends.Response, error) { return shed, nil }
		require.Equal(t, 503, f.get(t.Context(), "/safe/x", oak...).Status)
		require.Equal(t, 1, quota.credit, "a request that no server ran gives its credit back")
		f.backends.script = func(int, string, backends.Request) (backends.Response, error) { return backends.Response{}, reset }
		require.Equal(t, 502, f.get(t.Context(), "/unsafe/x", oak...).Status)
		require.Zero(t, quota.credit, "a request that may have run keeps its credit")
		answer := f.get(t.Context(), "/safe/x", oak...)
		require.Equal(t, 429, answer.Status)
		seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, seconds, 0.7)
		require.Contains(t, f.log.String(), `"cause":"quota"`)
		f.backends.script = func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil }
		require.Equal(t, 200, f.get(t.Context(), "/upload/x").Status, "anonymous requests have no quota")
	})
}

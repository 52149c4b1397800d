package dispatch_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
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
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// play is a dispatcher under random load, drawn from a seed.
type play struct {
	*fixture
	draw *rand.Rand
	// refusedPermits counts permits that were not granted.
	refusedPermits int
}

func newPlay(seed uint64) *play {
	p := &play{draw: rand.New(rand.NewPCG(seed, 1))}
	p.fixture = newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
		time.Sleep(time.Duration(10+n*7%40) * time.Millisecond)
		switch {
		case n%17 == 0:
			return backends.Response{}, reset
		case n%13 == 0:
			return shed, nil
		case n%11 == 0:
			return misdirected, nil
		}
		return signed(200), nil
	})
	p.dispatcher.Features = func() features.Set { return features.Set{Admission: seed%2 == 0} }
	p.dispatcher.ServerLimiter.Count = func(string) {}
	p.dispatcher.Counter = permitCounter{&p.refusedPermits}
	events := []redwingstall.Event{}
	for i := range 30 {
		entry := redwingstall.BackendEntry{ID: fmt.Sprintf("s-%02d", i), Service: "s", Slots: 1 + i%4, StartedAtMillis: 1, Draining: i == 3}
		if i%7 == 0 {
			entry.WarmupLeft = time.Minute
		}
		events = append(events, redwingstall.EntryChanged{Entry: entry})
	}
	for i := range 20 * int(seed%3) { // with more than 12 instances, servers are sampled
		record, _ := view.PeerRecord(view.Peer{Name: fmt.Sprintf("p%d", i)})
		events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
	}
	c := configuration()
	c.Version = 2
	c.Routes[0].Parts = append(c.Routes[0].Parts, redwingstall.WeightedService{Service: "k", Weight: 0.4})
	events = append(events, redwingstall.ConfigurationChanged{Configuration: c})
	p.view.Apply(time.Now(), events, false)
	return p
}

// permitCounter counts permits that were not granted.
type permitCounter struct{ refused *int }

func (permitCounter) Add(string, int64)                   {}
func (permitCounter) RecordLatency(string, time.Duration) {}
func (c permitCounter) Count(name string) {
	if name == "serverLimits.refused" {
		*c.refused++
	}
}

// change changes what is known of the servers.
func (p *play) change() {
	time.Sleep(time.Duration(p.draw.IntN(60)) * time.Millisecond)
	reports := []placement.Report{}
	for i := range 30 {
		reports = append(reports, placement.Report{Server: fmt.Sprintf("s-%02d", i), InFlight: p.draw.IntN(9), LatencyFactor: 0.5 + p.draw.Float64(), Demand: 8 * p.draw.Float64()})
	}
	for _, id := range []string{"k1", "k2"} {
		reports = append(reports, placement.Report{Server: id, InFlight: p.draw.IntN(14), LatencyFactor: 1, Demand: 9 * p.draw.Float64()})
	}
	p.dispatcher.Estimator.MergeReports(time.Now(), "peer", reports)
	if p.draw.IntN(4) == 0 { // a server names a limit, or ends it
		server := shardmap.Server{ID: fmt.Sprintf("s-%02d", p.draw.IntN(30)), StartedAtMillis: 1}
		p.dispatcher.ServerLimiter.Table.Observe(server, redwingstall.RateLimit{Rate: float64(p.draw.IntN(9)), IsNamed: true}, time.Now(), time.Now())
	}
	owner := redwingstall.BackendEntry{ID: "k2", Service: "k", Slots: 4, StartedAtMillis: 1, Draining: p.draw.IntN(3) == 0}
	event := redwingstall.Event(redwingstall.EntryChanged{Entry: owner})
	if p.draw.IntN(8) == 0 {
		event = redwingstall.EntryRemoved{ID: owner.ID}
	}
	p.view.Apply(time.Now(), []redwingstall.Event{event}, false)
	p.exhaust(fmt.Sprintf("s-%02d", p.draw.IntN(30)), fmt.Sprintf("s-%02d", p.draw.IntN(30)))
}

func (p *play) exhaust(ids ...string) { p.backends.exhaust(ids...) }

func (p *play) question() dispatch.Question {
	path := []string{"/safe/x", "/unsafe/x", "/keyed/x", "/book/x", "/none/x"}[p.draw.IntN(5)]
	q := dispatch.Question{Method: "GET", Host: "h", Target: path, TimeoutMillis: int64(700 + p.draw.IntN(800))}
	if key := p.draw.IntN(redwingstall.KeyCount); path == "/keyed/x" || path == "/book/x" {
		q.Key = &key
	}
	return q
}

// ask sends the request of a question.
func (p *play) ask(t *testing.T, q dispatch.Question) backends.Response {
	t.Helper()
	header := http.Header{"Request-Id": {"id"}, "Request-Deadline": {strconv.FormatInt(q.TimeoutMillis, 10)}}
	if q.Key != nil {
		header.Set("Shard-Key", strconv.Itoa(*q.Key))
	}
	return p.dispatcher.Serve(t.Context(), dispatch.Request{Method: q.Method, Target: q.Target, Path: q.Target, Host: q.Host, Header: header, Arrived: time.Now()})
}

// Guards against an explanation that names another server, refusal or wait than a request at the
// same instant, with the same random numbers, meets.
func TestExplanationsAreTheChoicesMade(t *testing.T) {
	verdicts, reasons, compared := map[string]int{}, map[string]int{}, 0
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(seed)
			for n := range 80 {
				p.change()
				q, draw := p.question(), uint64(n)
				e := p.dispatcher.Explain(q, rand.New(rand.NewPCG(seed, draw)).Float64)
				p.dispatcher.Random = rand.New(rand.NewPCG(seed, draw)).Float64
				sent, refused := len(p.backends.sent), p.refusedPermits
				began := time.Now()
				answer := p.ask(t, q)
				verdicts[e.Verdict]++
				reasons[e.Reason]++
				compared++
				switch e.Verdict {
				case dispatch.VerdictSend:
					require.Greater(t, len(p.backends.sent), sent, "%+v, status %d", e, answer.Status)
					require.Equal(t, p.backends.sent[sent], e.Server)
				case dispatch.VerdictWait:
					if e.Server == "" {
						require.Positive(t, time.Since(began), "%+v", e)
					}
					if e.Server != "" && p.refusedPermits == refused {
						require.Equal(t, p.backends.sent[sent], e.Server)
					}
				case dispatch.VerdictRefuse:
					require.Len(t, p.backends.sent, sent, "%+v", e)
					require.Equal(t, answer.Status, e.Status)
					told, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
					require.InDelta(t, told, float64(e.RetryAfterMillis)/1000, 0.00101, "both are rounded to milliseconds: %+v", e)
				}
			}
		})
	}
	t.Logf("%d compared: %v, %v", compared, verdicts, reasons)
	require.Greater(t, verdicts[dispatch.VerdictSend], 200)
	require.Greater(t, reasons[dispatch.ReasonNotAdmitted]+reasons[dispatch.ReasonOverload], 150)
}

// Guards against explanations that change what happens to later requests.
func TestExplanationsChangeNothing(t *testing.T) {
	for seed := range uint64(6) {
		run := func(explanations int) (sent []string, statuses []int) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(seed)
				for range 80 {
					p.change()
					q := p.question()
					for range explanations {
						other := q
						other.TimeoutMillis, other.Target = 9000, "/unsafe/x"
						p.dispatcher.Explain(other, rand.Float64)
						p.dispatcher.Explain(q, rand.Float64)
					}
					statuses = append(statuses, p.ask(t, q).Status)
				}
				sent = p.backends.sent
			})
			return sent, statuses
		}
		sent, statuses := run(0)
		sentBeside, statusesBeside := run(10)
		require.Equal(t, sent, sentBeside)
		require.Equal(t, statuses, statusesBeside)
	}
}

// Guards against a data race between explanations and requests; the race detector finds it.
func TestExplanationsBesideRequests(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	w.dispatcher.Features = func() features.Set { return features.Set{Admission: true, EvenLoad: true} }
	w.dispatcher.Random = rand.Float64
	var running sync.WaitGroup
	key := 5
	for range 4 {
		running.Go(func() {
			for range 100 {
				w.get(t.Context(), "/safe/x")
				w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
			}
		})
		running.Go(func() {
			for range 100 {
				w.dispatcher.Explain(dispatch.Question{Host: "h", Target: "/safe/x"}, rand.Float64)
				w.dispatcher.Explain(dispatch.Question{Host: "h", Target: "/keyed/x", Key: &key}, rand.Float64)
			}
		})
	}
	running.Wait()
}

// previewQuota can tell without a charge.
type previewQuota struct{ fakeQuota }

func (q *previewQuota) Preview(time.Time, string) (isAdmitted bool, retryAfter time.Duration) {
	return q.credit > 0, 3 * time.Second
}

// Guards against API keys in an explanation or a log, and against an explanation that is charged
// to an account.
func TestExplanationsOfClientAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{StrictRevocation: true, RevocationTimeout: 5 * time.Second})
		quota := &previewQuota{fakeQuota{credit: 1}}
		f.dispatcher.Quota = quota
		for _, c := range []struct {
			question dispatch.Question
			reason   string
			status   int
			account  string
		}{
			{dispatch.Question{APIKey: "oak-key"}, "", 0, "oak"},
			{dispatch.Question{Account: "elm"}, "", 0, "elm"},
			{dispatch.Question{Account: "ash"}, dispatch.ReasonUnknownAccount, 0, ""},
			{dispatch.Question{APIKey: "oak-kex"}, "unauthorized: unknownKey", 401, ""},
			{dispatch.Question{}, "unauthorized: noKey", 401, ""},
		} {
			c.question.Method, c.question.Host, c.question.Target = "GET", "h", "/safe/x"
			e := f.dispatcher.Explain(c.question, rand.Float64)
			require.Equal(t, c.reason, e.Reason)
			require.Equal(t, c.status, e.Status)
			require.Equal(t, c.account, e.Account)
			text, err := json.Marshal(e)
			require.NoError(t, err)
			require.NotContains(t, string(text), "oak-ke")
		}
		require.Equal(t, 1, quota.credit)
		quota.credit = 0
		e := f.dispatcher.Explain(dispatch.Question{Host: "h", Target: "/safe/x", APIKey: "oak-key"}, rand.Float64)
		require.Equal(t, "quota: quota", e.Reason)
		require.GreaterOrEqual(t, e.RetryAfterMillis, int64(3000))
		time.Sleep(5 * time.Second)
		e = f.dispatcher.Explain(dispatch.Question{Host: "h", Target: "/safe/x", Account: "oak"}, rand.Float64)
		require.Equal(t, "unconfirmedKey: oldKnowledge", e.Reason)
		require.Empty(t, f.log.String())
		require.Empty(t, f.backends.sent)
	})
}

// Guards against a wait for an owner that takes place while a request is explained.
func TestExplanationOfAKeyWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(nil)
		key := 5
		q := dispatch.Question{Host: "h", Target: "/keyed/x", Key: &key}
		w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryRemoved{ID: "k1"}}, false)
		began := time.Now()
		e := w.dispatcher.Explain(q, rand.Float64)
		require.Zero(t, time.Since(began))
		require.Equal(t, dispatch.ReasonNoOwner, e.Reason)
		require.Equal(t, "k1", e.Owner.Server)
		require.NotEmpty(t, e.Owner.Absence)
		require.Positive(t, e.RetryAfterMillis)
	})
}

// BenchmarkExplain explains requests to the largest pooled and keyed services.
func BenchmarkExplain(b *testing.B) {
	w := newFixture(nil)
	w.dispatcher.Log = slog.New(slog.DiscardHandler)
	events := []redwingstall.Event{}
	for i := range 258 {
		events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: fmt.Sprintf("s-%03d", i), Service: "s", Slots: 4, StartedAtMillis: 1}})
	}
	for i := range 143 {
		record, _ := view.PeerRecord(view.Peer{Name: fmt.Sprintf("p%d", i)})
		events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
	}
	w.view.Apply(time.Now(), events, false)
	key := 5
	for name, q := range map[string]dispatch.Question{"pooled": {Host: "h", Target: "/safe/x"}, "keyed": {Host: "h", Target: "/keyed/x", Key: &key}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.dispatcher.Explain(q, rand.Float64)
			}
		})
	}
}

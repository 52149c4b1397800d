package serverlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

var (
	epoch   = time.Unix(1000, 0)
	process = shardmap.Server{ID: "s", StartedAtMillis: 5}
)

// observation is a response that an instance gets, in milliseconds.
type observation struct {
	sent, answered int
	// rate is negative if the response names no limit.
	rate float64
}

func named(rate float64) redwingstall.RateLimit {
	return redwingstall.RateLimit{Rate: rate, IsNamed: rate >= 0}
}

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// Guards against a limit that a delayed response ends, raises or names again.
func TestDelayedResponsesDoNotLoosenALimit(t *testing.T) {
	for name, c := range map[string]struct {
		observations []observation
		rate         float64
	}{
		"named":                             {[]observation{{0, 100, 4}}, 4},
		"ended":                             {[]observation{{0, 100, 4}, {100, 200, -1}}, 0},
		"ended, by a request sent before":   {[]observation{{0, 100, 4}, {50, 200, -1}}, 4},
		"ended, read before the limit":      {[]observation{{50, 200, -1}, {0, 100, 4}}, 4},
		"raised":                            {[]observation{{0, 100, 4}, {150, 200, 9}}, 9},
		"raised, by a request sent before":  {[]observation{{0, 100, 4}, {50, 200, 9}}, 4},
		"lowered":                           {[]observation{{0, 100, 4}, {50, 200, 2}}, 2},
		"older limit after the end":         {[]observation{{0, 100, 4}, {100, 200, -1}, {20, 90, 4}}, 0},
		"named again":                       {[]observation{{0, 100, 4}, {100, 200, -1}, {200, 300, 3}}, 3},
		"zero lets one probe through":       {[]observation{{0, 100, 0}}, 0.2},
		"so high that it has no effect":     {[]observation{{0, 100, 1e300}}, 0},
		"no effect any more":                {[]observation{{0, 100, 4}, {100, 200, 1e300}}, 0},
		"no limit and nothing known before": {[]observation{{0, 100, -1}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := &serverlimit.Table{}
			for _, o := range c.observations {
				table.Observe(process, named(o.rate), at(o.sent), at(o.answered))
			}
			require.InDelta(t, c.rate, table.Find(process).Rate, 0)
		})
	}
}

// Guards against a limit that cannot be read and is taken for its end.
func TestUnreadableLimitDoesNotEndALimit(t *testing.T) {
	table := &serverlimit.Table{}
	table.Observe(process, named(4), at(0), at(100))
	_, hasChanged := table.Observe(process, redwingstall.RateLimit{IsUnreadable: true}, at(200), at(300))
	require.False(t, hasChanged)
	require.InDelta(t, 4, table.Find(process).Rate, 0)
}

// Guards against a limit of an earlier process that binds the next one at the same id.
func TestLimitEndsWithTheProcessThatNamedIt(t *testing.T) {
	table := &serverlimit.Table{}
	table.Observe(process, named(4), at(0), at(100))
	next := shardmap.Server{ID: process.ID, StartedAtMillis: 6}
	require.False(t, table.Find(next).IsActive())
	table.Observe(next, named(-1), at(50), at(150))
	table.Observe(process, named(4), at(200), at(300))
	require.False(t, table.Find(next).IsActive())
	require.Zero(t, table.Digest())
	table.Observe(next, named(3), at(300), at(400))
	require.NotZero(t, table.Digest())
	table.RemoveUnlisted(func(string) bool { return false })
	require.Zero(t, table.Digest())
	require.Empty(t, table.TakeChanges())
}

// Guards against notices for each response, and against changes that nobody hears of.
func TestOnlyEssentialChangesAreBroadcast(t *testing.T) {
	table := &serverlimit.Table{}
	rates := func() []float64 {
		rates := []float64{}
		for _, l := range table.TakeChanges() {
			rates = append(rates, l.Rate)
		}
		return rates
	}
	table.Observe(process, named(4), at(0), at(100))
	require.Equal(t, []float64{4}, rates())
	table.Observe(process, named(4.1), at(100), at(200))
	require.Empty(t, rates())
	table.Observe(process, named(3), at(200), at(300))
	require.Equal(t, []float64{3}, rates())
	require.False(t, table.Merge(serverlimit.Limit{Server: process, Rate: 3.1, SentAt: at(310), AnsweredAt: at(320)}))
	require.True(t, table.Merge(serverlimit.Limit{Server: process, SentAt: at(330), AnsweredAt: at(340)}))
	require.Empty(t, rates(), "others have broadcast it")
}

// Guards against permits that exceed a limit after an idle time or a change of the limit.
func TestPermitsFollowTheRate(t *testing.T) {
	c := &serverlimit.Coordinator{}
	limit := serverlimit.Limit{Server: process, Rate: 10}
	granted := func(from, to int, maxWait time.Duration) int {
		n := 0
		for millis := from; millis < to; millis += 5 {
			if c.Reserve(at(millis), limit, 1, maxWait).IsGranted {
				n++
			}
		}
		return n
	}
	require.Equal(t, 0, granted(0, 100, 0), "another coordinator may have granted the first one")
	require.InDelta(t, 40, granted(100, 4100, 0), 1)
	require.LessOrEqual(t, granted(60_000, 61_000, 0), 10+3, "after an idle time")
	limit.Rate = 2
	require.InDelta(t, 8, granted(61_000, 65_000, 0), 1)
	limit.Rate = 20
	require.InDelta(t, 80, granted(65_000, 69_000, 0), 6)
}

// Guards against clients that are told to return at the same time.
func TestRefusedClientsReturnOneByOne(t *testing.T) {
	c := &serverlimit.Coordinator{}
	limit := serverlimit.Limit{Server: process, Rate: 4}
	granted := 0
	for c.Reserve(at(0), limit, 1, 500*time.Millisecond).IsGranted {
		granted++
	}
	require.Equal(t, 2, granted)
	first := c.Reserve(at(0), limit, 1, 500*time.Millisecond)
	second := c.Reserve(at(0), limit, 1, 500*time.Millisecond)
	require.False(t, second.IsGranted)
	require.Equal(t, 250*time.Millisecond, second.Wait-first.Wait)
}

package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more retries than the limit when requests are distributed very
// unevenly over 8 instances and each instance retries every request. The limit holds
// in each window over all instances.
func TestRetriesOfAllInstancesStayWithinBudget(t *testing.T) {
	const instances, ratio, extra = 8, 0.2, 56.0
	const window = 10 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(ratio, extra, window)
	}
	var requests, retries []time.Time
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(8 * time.Millisecond) {
		i := min(int(random.ExpFloat64()*2), instances-1)
		budgets[i].CountRequest(now, "s", instances)
		requests = append(requests, now)
		if budgets[i].Allow(now, "s", instances, 0) {
			retries = append(retries, now)
		}
	}
	require.NotEmpty(t, retries)
	for at := start.Add(window); at.Before(last(requests)); at = at.Add(time.Second) {
		bound := ratio*count(requests, at, window) + extra
		require.LessOrEqual(t, count(retries, at, window), bound)
	}
}

func last(times []time.Time) time.Time { return times[len(times)-1] }

func count(times []time.Time, end time.Time, window time.Duration) float64 {
	n := 0.0
	for _, t := range times {
		if !t.After(end) && t.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

func TestReserveIsKeptForRequestsNotExecuted(t *testing.T) {
	b := NewBudget(0, 10, time.Second)
	start := time.Unix(1000, 0)
	taken := 0
	for b.Allow(start, "s", 1, 0.5) {
		taken++
	}
	require.Equal(t, 4, taken)
	require.True(t, b.Allow(start, "s", 1, 0))
}

// Guards against more retries than the limit while the store does not list all instances,
// as after its recovery from an older copy.
func TestInstancesThatAreNoLongerListedKeepTheirShare(t *testing.T) {
	const instances, extra = 8, 56.0
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	total := 0
	for range instances {
		b := NewBudget(0, extra, window)
		b.CountRequest(start, "s", instances)
		for b.Allow(start.Add(time.Second), "s", 1, 0) {
			total++
		}
	}
	require.LessOrEqual(t, float64(total), extra)

	b := NewBudget(0, extra, window)
	b.CountRequest(start, "s", instances)
	b.CountRequest(start.Add(time.Second), "s", 1)
	left := start.Add(time.Second + window)
	taken := 0
	for b.Allow(left, "s", 1, 0) {
		taken++
	}
	require.Greater(t, taken, int(extra/instances), "a window later the share grows")
}

// Guards against a number of retries left that differs from what is allowed.
func TestLeftIsWhatIsAllowed(t *testing.T) {
	now := time.Unix(100, 0)
	for _, instances := range []int{1, 3, 40} {
		b := NewBudget(0.2, 56, 10*time.Second)
		for i := range 200 {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			b.CountRequest(at, "s", instances+i%3)
			if i%20 != 0 {
				continue
			}
			left, allowed := b.Left(at, "s", instances, 0.3), 0
			for allowed < 5 && b.Allow(at, "s", instances, 0.3) {
				allowed++
			}
			require.Equal(t, min(left, 5), allowed)
		}
	}
}

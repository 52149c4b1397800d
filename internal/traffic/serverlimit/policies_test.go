package serverlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

// arrival is a request that reaches an instance.
type arrival struct {
	at       time.Time
	instance int
}

// poisson returns arrivals at a rate per second. A tenth of the instances gets half of them.
func poisson(seed uint64, instances int, perSecond float64, duration time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	arrivals := []arrival{}
	for now := epoch; now.Sub(epoch) < duration; {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		n := instances
		if random.IntN(2) == 0 {
			n = max(instances/10, 1)
		}
		arrivals = append(arrivals, arrival{now, random.IntN(n)})
	}
	return arrivals
}

// policy decides whether a request may be sent, and when.
type policy func(a arrival) (sentAt time.Time, isSent bool)

// schedules gives each instance a share of the limit of its own.
func schedules(limit serverlimit.Limit, share func(instance int) float64) policy {
	coordinators := map[int]*serverlimit.Coordinator{}
	return func(a arrival) (time.Time, bool) {
		if coordinators[a.instance] == nil {
			coordinators[a.instance] = &serverlimit.Coordinator{}
		}
		p := coordinators[a.instance].Reserve(a.at, limit, share(a.instance), maxPermitWait)
		return a.at.Add(p.Wait), p.IsGranted
	}
}

const maxPermitWait = 200 * time.Millisecond

// exchangedCounts lets an instance send while its own requests of the last second, and those
// of the others as it knows them with a delay, are below the limit.
func exchangedCounts(limit serverlimit.Limit, delay time.Duration) policy {
	sent := []arrival{}
	return func(a arrival) (time.Time, bool) {
		n := 0
		for i := len(sent) - 1; i >= 0 && a.at.Sub(sent[i].at) < time.Second+delay; i-- {
			age := a.at.Sub(sent[i].at)
			if sent[i].instance == a.instance && age < time.Second || sent[i].instance != a.instance && age >= delay {
				n++
			}
		}
		if float64(n+1) > limit.Rate {
			return a.at, false
		}
		sent = append(sent, a)
		return a.at, true
	}
}

// Guards against a way to keep a limit that is exceeded, or not used, by fleets of some size.
func TestOneScheduleUsesALimitAtAnyFleetSize(t *testing.T) {
	const duration, window = 5 * time.Minute, 4 * time.Second
	limit := serverlimit.Limit{Server: process, Rate: 4.2}
	for _, load := range []float64{8, 42} {
		for _, instances := range []int{8, 80, 295} {
			busy := max(instances/10, 1)
			byDemand := func(i int) float64 {
				demand := 0.5 / float64(instances)
				if i < busy {
					demand += 0.5 / float64(busy)
				}
				return demand
			}
			for name, decide := range map[string]policy{
				"equal shares":           schedules(limit, func(int) float64 { return 1 / float64(instances) }),
				"shares by demand":       schedules(limit, byDemand),
				"exchanged counts":       exchangedCounts(limit, 300*time.Millisecond),
				"exchanged counts, slow": exchangedCounts(limit, 600*time.Millisecond),
				"one schedule": func(one policy) policy {
					return func(a arrival) (time.Time, bool) { return one(arrival{at: a.at}) }
				}(schedules(limit, func(int) float64 { return 1 })),
			} {
				f := &fleet{}
				refusedIdle, fromIdle := 0, 0
				for _, a := range poisson(1, instances, load, duration) {
					sentAt, isSent := decide(a)
					if isSent {
						f.arrivals = append(f.arrivals, sentAt)
					}
					if a.instance >= busy {
						fromIdle++
					}
					if !isSent && a.instance >= busy {
						refusedIdle++
					}
				}
				used, most := float64(len(f.arrivals))/duration.Seconds()/limit.Rate, f.mostInWindow(window)
				t.Logf("%s: load %v, %d instances: %.0f%% of the limit used, at most %d in 4 s, %.0f%% refused at instances with little load", name, load, instances, 100*used, most, 100*float64(refusedIdle)/float64(fromIdle))
				if name == "one schedule" {
					require.LessOrEqual(t, most, int(limit.Rate*window.Seconds()+3), fmt.Sprint(instances))
					require.GreaterOrEqual(t, used, 0.85, fmt.Sprint(instances))
				}
			}
		}
	}
}

package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/traffic/admission"
)

const ms = time.Millisecond

// lookups returns requests for many keys, at a multiple of the capacity of the server.
func lookups(name string, rate float64) load {
	const execution = 190 * ms
	return load{name: name, perSecond: rate * 6 / (execution.Seconds() * meanPace), execution: execution, objective: 800 * ms, patience: 6 * time.Second, key: -1}
}

func (l load) with(change func(*load)) load {
	change(&l)
	return l
}

// outcome is what the clients of each load got, with the decisions and without them.
type outcome struct{ on, off map[string]*result }

// compare plays loads for five minutes to each of a small fleet and a large one.
func compare(t *testing.T, interval time.Duration, check func(t *testing.T, o outcome), loads ...load) {
	t.Helper()
	comparePool(t, 1, 0, interval, check, loads...)
}

// comparePool does the same with a pool of servers, of which some are lost after 20 s. With several
// servers, fewer minutes give as many requests.
func comparePool(t *testing.T, servers, lost int, interval time.Duration, check func(t *testing.T, o outcome), loads ...load) {
	t.Helper()
	for name, instances := range map[string]int{"3 instances": 3, "143 instances": 143} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sums := [2]map[string]*result{{}, {}}
			for i := range sums {
				for seed := range max(5/servers, 1) {
					s := newSimulation(uint64(seed), i == 0, instances, servers, interval)
					for n := range lost {
						s.after(20*time.Second, func() { s.lose(n) })
					}
					for name, r := range s.run(time.Minute, append([]load{}, loads...)...) {
						if sums[i][name] == nil {
							sums[i][name] = &result{}
						}
						sums[i][name].add(r)
					}
				}
				for _, l := range loads {
					t.Logf("on %v, %s: %s", i == 0, l.name, sums[i][l.name])
				}
			}
			check(t, outcome{sums[0], sums[1]})
		})
	}
}

// Guards against queues that are so long that all requests are late, and against clients that
// are told to return where there is no capacity.
func TestOverloadedServerAnswersInTime(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["all"].prompt(), 0.3, "of 0.38 that the server has capacity for")
		require.Less(t, o.on["all"].again/o.on["all"].clients, 0.1)
		require.Greater(t, o.on["all"].value(), o.off["all"].value()+0.3)
	}, lookups("all", 2.6))
}

// Guards against refusals while there is capacity, where an instance sees few requests.
func TestCalmServerTakesAll(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["all"].served(), 0.98)
		require.Greater(t, o.on["all"].value(), o.off["all"].value()-0.02)
	}, lookups("all", 0.6))
}

// Guards against requests of a higher priority that find no room because of lower ones.
func TestHigherPriorityGoesFirst(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["urgent"].prompt(), 0.65)
		require.Greater(t, o.on["urgent"].served(), o.on["other"].served()+0.1)
		require.Greater(t, o.on["urgent"].prompt(), o.off["urgent"].prompt()+0.3)
	}, lookups("urgent", 0.7), lookups("other", 0.7).with(func(l *load) { l.priority, l.objective = 1, time.Second }))
}

// Guards against a key with six times the load that its server can handle, which costs the other
// keys of the server their responses.
func TestBusyKeyLeavesRoomToOthers(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["others"].prompt(), 0.7)
		require.Less(t, o.off["others"].prompt(), 0.1)
		require.Less(t, o.on["busy"].again/o.on["busy"].clients, 0.1)
	}, lookups("others", 0.4), lookups("busy", 6).with(func(l *load) { l.key = 1 }))
}

// Guards against requests of 750 ms that take the slots of five short ones each.
func TestShortRequestsGoBeforeLongOnes(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["short"].prompt(), o.on["long"].prompt())
		require.Greater(t, o.on["short"].prompt(), o.off["short"].prompt()+0.2)
	}, lookups("short", 0.8).with(func(l *load) { l.execution = 150 * ms }),
		lookups("long", 0.15).with(func(l *load) { l.execution, l.objective, l.patience = 750*ms, 2500*ms, 8*time.Second }))
}

// Guards against clients that return at the wrong time and thereby make first attempts late.
func TestFirstAttemptsGoBeforeReturns(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["patient"].prompt(), 0.645)
		require.Greater(t, o.on["patient"].prompt(), o.off["patient"].prompt()+0.1)
	}, lookups("patient", 0.6), lookups("returning", 0.6).with(func(l *load) { l.returnAfter = time.Second }))
}

// Guards against clients that repeat at once and thereby take the place of patient ones.
func TestRepeatingClientsCostOthersLittle(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["patient"].prompt(), o.off["patient"].prompt()+0.1)
	}, lookups("patient", 0.9), lookups("repeating", 0.4).with(func(l *load) { l.repeats = 3 }))
}

// Guards against a burst, while a quarter of the capacity is lost, that makes the time after it
// late too.
func TestBurstEndsWithItsLoad(t *testing.T) {
	compare(t, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["all"].prompt(), 0.85)
		require.Greater(t, o.on["burst"].value(), 0.3)
		require.GreaterOrEqual(t, o.on["all"].value(), o.off["all"].value())
	}, lookups("all", 0.7), lookups("burst", 0.7*2.6/0.75-0.7).with(func(l *load) { l.from, l.to = 20*time.Second, 22*time.Second }))
}

// Guards against requests to a pool that are refused while other servers are free.
func TestCalmPoolTakesAll(t *testing.T) {
	comparePool(t, 8, 0, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["all"].served(), 0.99)
		require.Greater(t, o.on["all"].value(), o.off["all"].value()-0.01)
	}, lookups("all", 8*0.75))
}

// Guards against a burst of 2.6 times, while a quarter of the servers of a pool is lost, that all
// clients pay for.
func TestPoolServesThroughABurstAndALoss(t *testing.T) {
	comparePool(t, 8, 2, 200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["all"].value(), o.off["all"].value())
		require.Greater(t, o.on["burst"].value(), o.off["burst"].value())
	}, lookups("all", 8*0.6), lookups("burst", 8*0.6*1.6).with(func(l *load) { l.from, l.to = 20*time.Second, 25*time.Second }))
}

// Guards against decisions from reports that are 1.2 to 2.4 s old as if they were new.
func TestStaleReports(t *testing.T) {
	compare(t, 1200*ms, func(t *testing.T, o outcome) {
		require.Greater(t, o.on["all"].prompt(), 0.42)
		require.Greater(t, o.on["all"].value(), o.off["all"].value()+0.1)
	}, lookups("all", 1.3))
	decide := func(age time.Duration, objective time.Duration) admission.Cause {
		c := admission.Controller{}
		return c.Decide(time.Unix(0, 0), admission.Request{Execution: 200 * ms, ObjectiveLeft: objective, DeadlineLeft: 2 * time.Second, ReturnLeft: 2 * time.Second},
			admission.Target{Name: "s", Service: "s", Slots: 4, Queue: 7, Execution: 200 * ms, Pace: 1, Age: age, Instances: 3}, func() float64 { return 0 }).Cause
	}
	require.Equal(t, admission.CauseNone, decide(100*ms, 500*ms), "400 ms expected")
	require.Equal(t, admission.CauseLate, decide(2*time.Second, 500*ms))
	require.Equal(t, admission.CauseLate, decide(100*ms, 450*ms))
}

// Guards against a cold server that counts with all of its slots: what it cannot take is told to
// return at once, and is refused again.
func TestColdServerTakesLess(t *testing.T) {
	decide := func(maxBusy float64) admission.Decision {
		c := admission.Controller{}
		return c.Decide(time.Unix(0, 0), admission.Request{Execution: 200 * ms, ObjectiveLeft: 800 * ms, DeadlineLeft: 2 * time.Second, ReturnLeft: 2 * time.Second},
			admission.Target{Name: "s", Service: "s", Slots: 4, MaxBusy: maxBusy, Queue: 1, Execution: 200 * ms, Pace: 1, Demand: 4, Instances: 3}, func() float64 { return 0.5 })
	}
	require.Equal(t, admission.CauseNone, decide(0).Cause)
	cold := decide(1)
	require.Equal(t, admission.CauseShare, cold.Cause)
	require.Greater(t, cold.RetryAfter, 2*time.Second, "it has no room before the client leaves")
}

// BenchmarkDecide decides for 258 servers and 100,000 keys of an instance among 143.
func BenchmarkDecide(b *testing.B) {
	c := admission.Controller{}
	names := make([]string, 258)
	for i := range names {
		names[i] = "i-" + time.Duration(i).String()
	}
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(100 * time.Microsecond)
		c.Decide(now, admission.Request{Key: n % 100_000, HasKey: true, Execution: 190 * ms, ObjectiveLeft: 800 * ms, DeadlineLeft: 3 * time.Second, ReturnLeft: 6 * time.Second},
			admission.Target{Name: names[n%len(names)], Service: "k", Slots: 6, Queue: 9, Execution: 190 * ms, Pace: 1, Demand: 8, Instances: 143}, func() float64 { return 0.5 })
	}
}

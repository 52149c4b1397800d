package admission_test

import (
	"fmt"
	"testing"
	"time"
)

func TestExplore(t *testing.T) {
	const ms = time.Millisecond
	lookup := load{name: "lookup", execution: 190 * ms, objective: 800 * ms, patience: 6 * time.Second, key: -1}
	with := func(l load, name string, rate float64, change func(*load)) load {
		l.name, l.perSecond = name, rate
		if change != nil {
			change(&l)
		}
		return l
	}
	cap := newSimulation(0, true, 1, time.Second).capacity(190 * ms)
	scenarios := map[string][]load{
		"1 calm 0.6":   {with(lookup, "all", 0.6*cap, nil)},
		"2 near 0.9":   {with(lookup, "all", 0.9*cap, nil)},
		"3 over 1.3":   {with(lookup, "all", 1.3*cap, nil)},
		"4 over 2.6":   {with(lookup, "all", 2.6*cap, nil)},
		"5 burst":      {with(lookup, "all", 0.7*cap, nil), with(lookup, "burst", 1.8*cap, func(l *load) { l.from, l.to = 20*time.Second, 22*time.Second })},
		"6 hot key":    {with(lookup, "others", 0.4*cap, nil), with(lookup, "hot", 6*cap, func(l *load) { l.key = 1 })},
		"7 priorities": {with(lookup, "p0", 0.7*cap, nil), with(lookup, "p1", 0.7*cap, func(l *load) { l.priority = 1; l.objective = time.Second })},
		"8 long":       {with(lookup, "short", 0.8*cap, func(l *load) { l.execution = 150 * ms }), with(lookup, "long", 0.15*cap, func(l *load) { l.execution, l.objective, l.patience = 750*ms, 2500*ms, 8*time.Second })},
		"9 repeaters":  {with(lookup, "patient", 0.9*cap, nil), with(lookup, "repeating", 0.4*cap, func(l *load) { l.repeats = 3 })},
	}
	for _, instances := range []int{3, 143} {
		for i := range 9 {
			for name, loads := range scenarios {
				if name[0] != byte('1'+i) {
					continue
				}
				for _, isOn := range []bool{false, true} {
					out := ""
					total, n, busy := 0.0, 0.0, 0.0
					sums := map[string]*result{}
					for seed := range 5 {
						s := newSimulation(uint64(seed), isOn, instances, 200*ms)
						rs := s.run(60*time.Second, append([]load{}, loads...)...)
						busy += s.busy.Seconds() / 60 / 6 / 5
						for k, r := range rs {
							if sums[k] == nil {
								sums[k] = &result{}
							}
							sums[k].causes = r.causes
							sums[k].clients += r.clients
							sums[k].inTime += r.inTime
							sums[k].late += r.late
							sums[k].refused += r.refused
							sums[k].again += r.again
						}
					}
					for _, l := range loads {
						r := sums[l.name]
						out += fmt.Sprintf(" | %s inTime %.3f late %.3f refused %.3f again %.3f value %.3f %v", l.name, r.prompt(), r.late/r.clients, r.refused/r.clients, r.again/r.clients, r.value(), r.causes)
						total += r.value() * r.clients
						n += r.clients
					}
					fmt.Printf("%3d %-14s on=%-5v busy %.2f total %.3f%s\n", instances, name, isOn, busy, total/n, out)
				}
			}
		}
	}
}

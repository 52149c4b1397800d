//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playSecondAnswer shows what the leader makes of an answer to a release that an upstream
// sends once more.
func playSecondAnswer(d *deployment, trouble bool) (bool, error) {
	return d.playMoves(func(u *upstream) { u.repeatsReleases = trouble })
}

// playMoves plays a service whose busy keys change, so that the leader moves keys. Half of the
// upstreams are in trouble.
func (d *deployment) playMoves(disturb func(u *upstream)) (bool, error) {
	const (
		length     = 85 * time.Second
		perSecond  = 30
		hotShare   = 0.55
		hotKeys    = 24
		shiftEvery = 5 * time.Second
	)
	d.serveStore(d.store)
	d.configure(3, []route{{"lookup", "/lookup/", "safe", "keyed-catalogue", 1500, 600}}, "keyed-catalogue")
	w := &world{d: d}
	work := func(int) time.Duration { // mean 220 ms, one in 20 takes 1 s; the site's longest is 1.3 s
		if rand.IntN(20) == 0 {
			return time.Second
		}
		return time.Duration(120+rand.IntN(120)) * time.Millisecond
	}
	for i := range 4 {
		u, err := w.add(fmt.Sprintf("i-%d", i+1), "keyed-catalogue", []string{"zaandam", "wormerveer"}[i%2], 4, work)
		if err != nil {
			return false, err
		}
		if i < 2 { // half of the upstreams; the site's garble has 0.6
			disturb(u)
		}
	}
	for _, zone := range []string{"zaandam", "wormerveer"} {
		if err := d.addGateway(zone); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 30}}
	var clients sync.WaitGroup
	hot, shiftedAt := 0, time.Time{}
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(shiftedAt) >= shiftEvery {
			hot, shiftedAt = w.busyKeys(len(w.upstreams), hotKeys), time.Now()
			d.record("clients: keys from %d on are busy now", hot)
		}
		key := rand.IntN(65536)
		if rand.Float64() < hotShare {
			key = hot + rand.IntN(hotKeys)
		}
		g := d.gateways[n%len(d.gateways)]
		clients.Go(func() { ask(d, client, g, http.MethodGet, "/lookup/x", fmt.Sprintf("r%05d", n), key) })
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	d.keepLogs(`"msg":"leading"`, `"msg":"order"`)
	w.mu.Lock()
	defer w.mu.Unlock()
	answers := 0
	for _, u := range w.upstreams {
		d.record("%s: %d answers, %d spoiled or sent once more", u.id, u.answers, u.repeated)
		answers += u.answers
	}
	d.record("%d times broken", len(w.broken))
	if answers < 500 {
		return false, errors.New("too few requests were answered")
	}
	return len(w.broken) > 0, nil
}

// busyKeys returns the start of a few keys in the widest range that one of the first
// upstreams holds.
func (w *world) busyKeys(upstreams, keys int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	widest := hold{}
	for _, u := range w.upstreams[:upstreams/2] {
		for _, h := range u.holds {
			if h.to-h.from > widest.to-widest.from {
				widest = h
			}
		}
	}
	return min((widest.from+widest.to)/2, 65536-keys)
}

//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// upstream is a stand-in for a server of a service without keys. It runs as many requests at once
// as it has slots, queues a few more, and turns away the rest.
type upstream struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// body is what it answers with.
	body []byte
	// warmup is how long it is cold after its start, and crashAbove the requests in a second above
	// which it crashes while it is cold, or zero.
	warmup     time.Duration
	crashAbove int

	fleet    *fleet
	listener net.Listener
	server   *http.Server
	startsAt time.Time
	running  chan struct{}
	stop     chan struct{}

	mu       sync.Mutex
	sequence int
	waiting  int
	arrivals []arrival
	begun    map[string]bool
	finished map[string]bool
	crashed  time.Time
}

// arrival is a request that has reached an upstream.
type arrival struct {
	id       string
	sent, at time.Time
	through  string
}

// start listens, and registers the upstream in the store until it stops.
func (u *upstream) start(f *fleet, n int) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", f.prefix, 100+n))
	if err != nil {
		return err
	}
	u.fleet, u.listener, u.startsAt = f, listener, time.Now()
	u.running, u.stop = make(chan struct{}, u.slots), make(chan struct{})
	u.begun, u.finished = map[string]bool{}, map[string]bool{}
	u.server = &http.Server{Handler: u}
	f.listeners = append(f.listeners, u.server)
	go func() { _ = u.server.Serve(listener) }()
	go u.beat()
	return nil
}

// beat writes the entry about every heartbeat_ms.
func (u *upstream) beat() {
	ticker := time.NewTicker(870 * time.Millisecond)
	defer ticker.Stop()
	for {
		u.mu.Lock()
		u.sequence++
		left := max(u.warmup-time.Since(u.startsAt), 0)
		entry := map[string]any{
			"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready",
			"warmup_left_ms": left.Milliseconds(), "sequence": u.sequence, "born": u.startsAt.UnixMilli(),
		}
		u.mu.Unlock()
		u.fleet.store.Put("servers/"+u.id, entry)
		select {
		case <-ticker.C:
		case <-u.stop:
			return
		}
	}
}

func (u *upstream) isCold() bool { return time.Since(u.startsAt) < u.warmup }

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := q.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if !u.arrive(id) {
		panic(http.ErrAbortHandler)
	}
	if !u.enter(w, q) {
		return
	}
	work := u.work
	if u.isCold() {
		work *= 2
	}
	select {
	case <-time.After(work):
	case <-u.stop:
		panic(http.ErrAbortHandler)
	}
	u.mu.Lock()
	u.finished[id] = true
	u.mu.Unlock()
	u.setLoad(w)
	<-u.running
	w.Header().Set("Response-Signature", "s-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(u.body)))
	_, _ = w.Write(u.body)
}

func (u *upstream) setLoad(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(u.running), u.waiting, u.slots))
}

// enter waits for a slot. It returns false if the request was turned away.
func (u *upstream) enter(w http.ResponseWriter, q *http.Request) bool {
	u.mu.Lock()
	isFull := u.waiting >= u.queue
	if !isFull {
		u.waiting++
	}
	u.mu.Unlock()
	if isFull {
		u.setLoad(w)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.running <- struct{}{}:
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	case <-u.stop:
		panic(http.ErrAbortHandler)
	}
	u.mu.Lock()
	u.begun[q.Header.Get("Request-Id")] = true
	u.mu.Unlock()
	return true
}

// arrive records a request, and crashes the upstream if it gets too many while it is cold.
func (u *upstream) arrive(id string) bool {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.crashed.IsZero() {
		return false
	}
	u.arrivals = append(u.arrivals, arrival{id: id, at: now})
	recent := 0
	for _, a := range u.arrivals {
		if now.Sub(a.at) < time.Second {
			recent++
		}
	}
	if u.crashAbove > 0 && u.isCold() && recent > u.crashAbove {
		u.crashed = now
		close(u.stop)
		go func() { _ = u.server.Close() }()
		return false
	}
	return true
}

//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	ID, Upstream, Method, Target string
	Body                         []byte
	At                           time.Time
}

// ledger holds what all upstreams ran. It is safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// total returns the number of runs.
func (l *ledger) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		n += len(runs)
	}
	return n
}

// grant is a range of keys that an upstream holds.
type grant struct {
	from, to int
	fence    int64
	until    time.Time
}

// upstream is a server as the pages describe it: it works on slots requests at a time, queues a
// few more, answers 503 with Not-Executed when it is full, and holds keys if its service is
// divided by key.
type upstream struct {
	id, service, zone string
	born              int64
	slots, queue      int
	sharded           bool
	work              func() time.Duration
	// answer may replace the way in which an answer is written. It is called with the whole
	// answer, and with the request's number on its connection.
	answer func(u *upstream, c *upstreamConnection, text []byte)
	// sheds reports whether the upstream turns a request away as if it were full. It may be nil.
	sheds func(u *upstream) bool
	// before is called when a request has arrived on a connection.
	before func(u *upstream, c *upstreamConnection)

	ledger   *ledger
	listener net.Listener
	busy     chan struct{}

	mu       sync.Mutex
	waiting  int
	running  map[int]int // running requests by key
	grants   []grant
	highest  []grant
	sequence int
	answers  int
	fulls    int
}

// upstreamConnection is a connection to an upstream.
type upstreamConnection struct {
	net.Conn
	// owed is an extra answer that is sent where the next one is expected.
	owed []byte
}

func startUpstream(u *upstream) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.listener, u.busy, u.running = listener, make(chan struct{}, u.slots), map[int]int{}
	u.born = time.Now().UnixMilli()
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(&upstreamConnection{Conn: raw})
		}
	}()
	return nil
}

// entry returns the entry in service discovery.
func (u *upstream) entry() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": u.sequence, "born": u.born,
	}
}

func (u *upstream) serve(c *upstreamConnection) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if u.before != nil {
			u.before(u, c)
		}
		isOrder := request.URL.Path == "/-/grant" || request.URL.Path == "/-/release"
		expected := request.Header.Get("Expected-Instance")
		header := http.Header{}
		if id := request.Header.Get("Request-Id"); id != "" {
			header.Set("Request-Id", id)
		}
		switch {
		case expected != "" && expected != u.id:
			header.Set("Instance-Id", u.id)
			u.write(c, http.StatusMisdirectedRequest, header, "")
			return
		case isOrder:
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			u.order(c, request.URL.Path, body)
		default:
			if !u.request(c, request, header) {
				return
			}
		}
	}
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(u.busy), u.waiting, u.slots)
}

// write writes an answer with a length.
func (u *upstream) write(c *upstreamConnection, status int, header http.Header, body string) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = header.Write(&text)
	text.WriteString("\r\n" + body)
	u.mu.Lock()
	u.answers++
	u.mu.Unlock()
	if u.answer != nil && header.Get("Request-Id") != "" {
		u.answer(u, c, text.Bytes())
		return
	}
	_, _ = c.Write(text.Bytes())
}

// enter takes a place in the queue, or reports that the upstream is full.
func (u *upstream) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.busy) >= u.slots && u.waiting >= u.queue {
		u.fulls++
		return false
	}
	u.waiting++
	return true
}

func (u *upstream) request(c *upstreamConnection, request *http.Request, header http.Header) (continues bool) {
	id := request.Header.Get("Request-Id")
	header.Set("Server-Load", u.load())
	if u.sheds != nil && u.sheds(u) || !u.enter() {
		// A full upstream turns the request away as its head arrives.
		header.Set("Not-Executed", "1")
		u.write(c, http.StatusServiceUnavailable, header, "")
		_, err := io.Copy(io.Discard, request.Body) // it reads on later
		return err == nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		u.leaveQueue()
		return false // a request that has not arrived whole does not run
	}
	u.busy <- struct{}{}
	u.leaveQueue()
	key, hasKey := -1, false
	if u.sharded {
		key, err = strconv.Atoi(request.Header.Get("Shard-Key"))
		hasKey = err == nil
		if !hasKey || !u.begin(key) {
			<-u.busy
			header.Set("Not-Executed", "1")
			u.write(c, http.StatusMisdirectedRequest, header, "")
			return true
		}
	}
	u.ledger.add(run{id, u.id, request.Method, request.RequestURI, body, time.Now()})
	time.Sleep(u.work())
	if hasKey {
		u.end(key)
	}
	<-u.busy
	header.Set("Response-Signature", u.id+"."+id)
	header.Set("Server-Load", u.load())
	u.write(c, http.StatusOK, header, "done "+id)
	return true
}

func (u *upstream) leaveQueue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

// begin counts a request on a key as running, if the upstream holds the key.
func (u *upstream) begin(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, g := range u.grants {
		if g.from <= key && key <= g.to && time.Now().Before(g.until) {
			u.running[key]++
			return true
		}
	}
	return false
}

func (u *upstream) end(key int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[key]--; u.running[key] == 0 {
		delete(u.running, key)
	}
}

// order carries out a grant or a release.
func (u *upstream) order(c *upstreamConnection, path string, body []byte) {
	var o struct {
		From   int   `json:"from"`
		To     int   `json:"to"`
		Fence  int64 `json:"fence"`
		HoldMS int64 `json:"hold_ms"`
	}
	if json.Unmarshal(body, &o) != nil {
		u.write(c, http.StatusBadRequest, http.Header{}, "")
		return
	}
	u.mu.Lock()
	if path == "/-/grant" {
		for _, g := range u.highest {
			if g.from <= o.To && o.From <= g.to && g.fence > o.Fence {
				u.mu.Unlock()
				u.write(c, http.StatusConflict, http.Header{}, "")
				return
			}
		}
	}
	u.highest = append(u.highest, grant{o.From, o.To, o.Fence, time.Time{}})
	if len(u.highest) > 4000 {
		u.highest = u.highest[2000:]
	}
	kept := []grant{}
	for _, g := range u.grants {
		if g.to < o.From || g.from > o.To {
			kept = append(kept, g)
			continue
		}
		if g.from < o.From {
			kept = append(kept, grant{g.from, o.From - 1, g.fence, g.until})
		}
		if g.to > o.To {
			kept = append(kept, grant{o.To + 1, g.to, g.fence, g.until})
		}
	}
	u.grants = kept
	if path == "/-/grant" {
		u.grants = append(u.grants, grant{o.From, o.To, o.Fence, time.Now().Add(time.Duration(o.HoldMS) * time.Millisecond)})
		u.mu.Unlock()
		u.write(c, http.StatusOK, http.Header{}, "")
		return
	}
	for u.isWorking(o.From, o.To) {
		u.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		u.mu.Lock()
	}
	u.mu.Unlock()
	u.write(c, http.StatusOK, http.Header{"Handover": {fmt.Sprint("h", o.Fence)}}, "")
}

func (u *upstream) isWorking(from, to int) bool {
	for key := range u.running {
		if from <= key && key <= to {
			return true
		}
	}
	return false
}

//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// world is what all upstreams of a case share: who holds which keys, and what ran.
type world struct {
	d         *deployment
	mu        sync.Mutex
	upstreams []*upstream
	broken    []string
	// begun holds the upstream that began each request.
	begun map[string]string
}

type hold struct {
	from, to int
	fence    int64
	until    time.Time
}

// upstream speaks PROTOCOL.md: it runs requests in its slots, takes grants and releases,
// and answers one request at a time on a connection.
type upstream struct {
	id, service, zone string
	slots             int
	born              int64
	sequence          int
	w                 *world
	listener          net.Listener
	free              chan struct{}
	work              func(key int) time.Duration
	// repeatsReleases makes it send each answer to a release once more, late: at the point
	// where the next response on the connection is expected.
	repeatsReleases bool
	// spoilsReleases makes it answer each release at once with a body without end.
	spoilsReleases bool
	// isEndless makes it answer everything with a head without end, at the pace of its link.
	isEndless atomic.Bool
	link      link

	// guarded by the world's mutex
	holds   []hold
	fences  []hold // the highest fencing tokens seen
	working map[int]int
	// heldUntil is until when a key on which a request began was granted at least.
	heldUntil map[int]time.Time
	answers   int
	repeated  int
}

func (w *world) add(id, service, zone string, slots int, work func(int) time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), w: w, listener: listener,
		free: make(chan struct{}, slots), work: work, working: map[int]int{}, heldUntil: map[int]time.Time{},
	}
	w.mu.Lock()
	w.upstreams = append(w.upstreams, u)
	w.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	u.register("ready")
	w.d.record("upstream %s of %s in %s at %s", id, service, zone, listener.Addr())
	return u, nil
}

func (u *upstream) register(state string) {
	u.sequence++
	u.w.d.store.Put("servers/"+u.id, map[string]any{
		"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": state, "warmup_left_ms": 0, "sequence": u.sequence, "born": u.born,
	})
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	late := "" // an extra response that is sent where the next one is expected
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if u.isEndless.Load() {
			u.sendEndless(c, request.URL.Path)
			return
		}
		if u.spoilsReleases && request.URL.Path == "/-/release" {
			go u.release(body)
			u.spoil(c, string(body))
			return
		}
		if late != "" {
			u.w.mu.Lock()
			u.repeated++
			u.w.mu.Unlock()
			u.w.d.record("%s sends its last answer to a release once more, as %s %s arrives on the same connection", u.id, request.URL.Path, body)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		text, isRelease := u.answer(request, body)
		u.w.mu.Lock()
		u.answers++
		u.w.mu.Unlock()
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if isRelease && u.repeatsReleases {
			late = text
		}
	}
}

func response(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func (u *upstream) answer(r *http.Request, body []byte) (text string, isRelease bool) {
	id := r.Header.Get("Request-Id")
	echo := "Request-Id: " + id + "\r\n"
	if id == "" {
		echo = ""
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		return response(http.StatusMisdirectedRequest, echo+"Not-Executed: 1\r\n", ""), false
	}
	switch r.URL.Path {
	case "/-/grant":
		return u.grant(body), false
	case "/-/release":
		return u.release(body), true
	}
	return u.run(r, id, echo), false
}

type order struct {
	From   int   `json:"from"`
	To     int   `json:"to"`
	Fence  int64 `json:"fence"`
	HoldMS int64 `json:"hold_ms"`
}

func (u *upstream) grant(body []byte) string {
	var o order
	if json.Unmarshal(body, &o) != nil {
		return response(http.StatusBadRequest, "", "")
	}
	w := u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	isRenewal := false
	for _, f := range u.fences {
		if f.from <= o.To && o.From <= f.to && f.fence > o.Fence {
			return response(http.StatusConflict, "", "")
		}
	}
	for _, h := range u.holds {
		isRenewal = isRenewal || h.from <= o.From && o.To <= h.to && h.fence == o.Fence && h.until.After(now)
	}
	if !isRenewal {
		w.d.record("%s takes keys %d to %d, fence %d, for %d ms", u.id, o.From, o.To, o.Fence, o.HoldMS)
		w.checkGrant(u, o, now)
	}
	u.holds = append(without(u.holds, o.From, o.To), hold{o.From, o.To, o.Fence, now.Add(time.Duration(o.HoldMS) * time.Millisecond)})
	u.fences = append(u.fences, hold{from: o.From, to: o.To, fence: o.Fence})
	return response(http.StatusOK, "", "")
}

// checkGrant checks a grant of keys by the rule OWNER. The holds of other upstreams end with
// their time or their release; work under way is that of requests which began while the key
// was held.
func (w *world) checkGrant(u *upstream, o order, now time.Time) {
	for _, other := range w.upstreams {
		if other == u || other.service != u.service {
			continue
		}
		for key, n := range other.working {
			if left := other.heldUntil[key].Sub(now); n > 0 && o.From <= key && key <= o.To && left > 0 {
				w.violate("OWNER: %s is given key %d (fence %d) while %s is still at work on it (%d requests), %d ms before that one's hold would have run out", u.id, key, o.Fence, other.id, n, left.Milliseconds())
			}
		}
	}
}

func (w *world) violate(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.broken = append(w.broken, text)
	w.d.record("BROKEN %s", text)
}

func without(holds []hold, from, to int) []hold {
	kept := []hold{}
	for _, h := range holds {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, hold{to + 1, h.to, h.fence, h.until})
		}
	}
	return kept
}

func (u *upstream) release(body []byte) string {
	var o order
	if json.Unmarshal(body, &o) != nil {
		return response(http.StatusBadRequest, "", "")
	}
	w := u.w
	w.mu.Lock()
	u.holds = without(u.holds, o.From, o.To)
	u.fences = append(u.fences, hold{from: o.From, to: o.To, fence: o.Fence})
	w.d.record("%s is told to release keys %d to %d, fence %d; at work on %d requests for them", u.id, o.From, o.To, o.Fence, u.atWork(o))
	for u.atWork(o) > 0 {
		w.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
	}
	w.d.record("%s has released keys %d to %d, fence %d", u.id, o.From, o.To, o.Fence)
	w.mu.Unlock()
	return response(http.StatusOK, fmt.Sprintf("Handover: %s-%d\r\n", u.id, o.Fence), "")
}

// atWork returns how many requests run on the keys of an order.
func (u *upstream) atWork(o order) int {
	n := 0
	for key, count := range u.working {
		if o.From <= key && key <= o.To {
			n += count
		}
	}
	return n
}

func (u *upstream) run(r *http.Request, id, echo string) string {
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	u.free <- struct{}{}
	defer func() { <-u.free }()
	w := u.w
	w.mu.Lock()
	isHeld := !u.isSharded()
	if isHeld {
		key, err = 0, nil
	}
	for _, h := range u.holds {
		if h.from <= key && key <= h.to && h.until.After(time.Now()) {
			isHeld = true
			u.heldUntil[key] = h.until
		}
	}
	if err != nil || !isHeld {
		w.mu.Unlock()
		return response(http.StatusMisdirectedRequest, echo+"Not-Executed: 1\r\n", "")
	}
	u.working[key]++
	if w.begun == nil {
		w.begun = map[string]string{}
	}
	w.begun[id] = u.id
	w.d.record("%s begins %s, key %d", u.id, id, key)
	w.mu.Unlock()
	time.Sleep(u.work(key))
	w.mu.Lock()
	u.working[key]--
	w.d.record("%s ends %s, key %d", u.id, id, key)
	w.mu.Unlock()
	return response(http.StatusOK, echo+"Response-Signature: "+u.id+"\r\n", "ran "+id)
}

func (u *upstream) isSharded() bool { return strings.HasPrefix(u.service, "keyed") }

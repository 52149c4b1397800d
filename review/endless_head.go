//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is limits.memory_mb of the settings; a process above it is killed.
	memoryLimitMB = 284
	// linkBytesPerSecond is the bandwidth of an upstream's link, that of the site's machines.
	linkBytesPerSecond = 1000 * 1000 * 1000 / 8
	restartDelay       = 500 * time.Millisecond
)

// link paces what one upstream sends, over all its connections.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

func (l *link) take(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// sendEndless sends a head that never ends, until the caller closes the connection.
func (u *upstream) sendEndless(c net.Conn, path string) {
	block := bytes.Repeat([]byte("X: y\r\n"), 4096)
	sent, err := 0, error(nil)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		u.link.take(len(block))
		n := 0
		n, err = c.Write(block)
		sent += n
	}
	u.w.d.record("%s has sent %d KB of a head to %s until the caller closed", u.id, sent>>10, path)
}

// watchMemory is the platform's part: it kills a process above the limit, and starts each one
// that has ended again after a short delay. It returns the ends by machine.
func (d *deployment) watchMemory(ctx context.Context, ends map[string]int, peaks map[string]int, mu *sync.Mutex) {
	var all sync.WaitGroup
	for _, g := range d.gateways {
		all.Go(func() {
			for ctx.Err() == nil {
				select {
				case <-g.ended:
					mu.Lock()
					ends[g.name]++
					mu.Unlock()
					d.record("%s has ended", g.name)
					time.Sleep(restartDelay)
					if err := d.start(g, false); err != nil {
						d.record("%s: %v", g.name, err)
						return
					}
				case <-time.After(2 * time.Millisecond):
				}
				resident := residentMB(g.process.Process.Pid)
				mu.Lock()
				peaks[g.name] = max(peaks[g.name], resident)
				mu.Unlock()
				if resident > memoryLimitMB {
					d.record("%s uses %d MB, over its limit of %d MB: killed", g.name, resident, memoryLimitMB)
					_ = g.process.Process.Signal(syscall.SIGKILL)
					<-g.ended
				}
			}
		})
	}
	all.Wait()
}

// residentMB returns the resident memory of a process in units of 2^20 bytes, without the pages
// of files, such as its program.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.Atoi(string(fields[1]))
	ofFiles, _ := strconv.Atoi(string(fields[2]))
	return (resident - ofFiles) * os.Getpagesize() >> 20
}

// cut is a request on a kept connection that ended without an answer.
type cut struct{ id, machine string }

// keptClient sends one request after the other on a connection that it keeps, and opens another
// one when it ends. It reports the requests whose connection ended without an answer after it
// had carried answers before.
func (d *deployment) keptClient(ctx context.Context, g *gateway, name string, report func(cut)) {
	const (
		deadline = 1500 * time.Millisecond
		think    = 200 * time.Millisecond
	)
	for n := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", g.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(c)
		for answers := 0; ctx.Err() == nil; answers++ {
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			key := rand.IntN(65536)
			d.record("client sends %s, key %d, to %s", id, key, g.name)
			_ = c.SetDeadline(time.Now().Add(deadline))
			_, err := fmt.Fprintf(c, "GET /lookup/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nShard-Key: %d\r\n\r\n", host, id, deadline.Milliseconds(), key)
			var answer *http.Response
			if err == nil {
				answer, err = http.ReadResponse(reader, nil)
			}
			if err == nil {
				_, err = io.ReadAll(answer.Body)
			}
			if err != nil {
				d.record("client: the connection of %s ends without an answer (%d answers before): %v", id, answers, err)
				if !errors.Is(err, os.ErrDeadlineExceeded) && answers > 0 {
					report(cut{id, g.name})
				}
				break
			}
			d.record("client: %s is answered %d", id, answer.StatusCode)
			if answer.Close {
				break
			}
			time.Sleep(think + time.Duration(rand.IntN(100))*time.Millisecond)
		}
		_ = c.Close()
	}
}

// playEndlessHead shows what an upstream that answers with a head without end does to the
// machines, and to the requests that sound upstreams are at work on.
func playEndlessHead(d *deployment, trouble bool) (bool, error) {
	const (
		calm       = 8 * time.Second
		length     = 80 * time.Second
		clients    = 10 // for each machine
		lostBound  = 3
		faultBound = 3
	)
	d.serveStore(d.store)
	d.configure(3, []route{{"lookup", "/lookup/", "safe", "keyed-catalogue", 1500, 600}}, "keyed-catalogue")
	w := &world{d: d}
	for i := range 4 {
		_, err := w.add(fmt.Sprintf("i-%d", i+1), "keyed-catalogue", []string{"zaandam", "wormerveer"}[i%2], 4, func(int) time.Duration {
			return time.Duration(120+rand.IntN(200)) * time.Millisecond
		})
		if err != nil {
			return false, err
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
	time.Sleep(3 * time.Second) // the keys are divided
	var mu sync.Mutex
	ends, peaks, cuts := map[string]int{}, map[string]int{}, []cut{}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { d.watchMemory(ctx, ends, peaks, &mu) })
	time.AfterFunc(calm, func() {
		if trouble {
			d.record("i-1 is in trouble from now on: each response is a head without end")
			w.upstreams[0].isEndless.Store(true)
		}
	})
	for _, g := range d.gateways {
		for n := range clients {
			all.Go(func() {
				d.keptClient(ctx, g, fmt.Sprintf("%s-%d", g.zone, n), func(c cut) {
					mu.Lock()
					defer mu.Unlock()
					cuts = append(cuts, c)
				})
			})
		}
	}
	all.Wait()
	d.keepLogs(`"msg":"leading"`)
	w.mu.Lock()
	defer w.mu.Unlock()
	answers, machines, lost := 0, 0, map[string]int{}
	for _, c := range cuts {
		if begun := w.begun[c.id]; begun != "" && begun != "i-1" {
			d.record("lost: %s had been passed on to %s, which is sound; %s closed its kept connection without an answer", c.id, begun, c.machine)
			lost[c.machine]++
		}
	}
	for _, u := range w.upstreams {
		answers += u.answers
	}
	for _, g := range d.gateways {
		d.record("%s: ended %d times by itself (memory over the limit), at most %d MB seen, %d requests lost", g.name, ends[g.name], peaks[g.name], lost[g.name])
		if ends[g.name] >= faultBound {
			machines++
		}
		if lost[g.name] > lostBound {
			w.violate("LOST: %s passed %d requests from kept connections on to sound upstreams and closed these connections without an answer", g.name, lost[g.name])
		}
	}
	d.record("%d machines of %d on which processes ended by themselves three times or more (Fault: from two on)", machines, len(d.gateways))
	if answers < 500 {
		return false, errors.New("too few requests were answered")
	}
	return len(w.broken) > 0, nil
}

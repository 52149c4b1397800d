//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	downloadBytes = 5_700_000
	// downloadRate is how fast a client reads, in bytes a second.
	downloadRate = 1_000_000
	// termAfter is when the platform stops the machine after the requests were sent.
	termAfter = 300 * time.Millisecond
	graceTime = 6 * time.Second // grace_s
	// clientDeadline is that of the site's downloads.
	clientDeadline = 8 * time.Second
	// segmentBytes is the segment size of Ethernet, which a client asks for: loopback has another
	// one, and buffers of megabytes with it.
	segmentBytes = 1448
	receiveBytes = 64 << 10
)

// slowDownload lets three clients read a download over six seconds, and stops their machine meanwhile.
func slowDownload(r *record, hasTrouble bool) (isBroken bool, err error) {
	f, err := newFleet(ancoar, r)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Configure(redwingstall.Configuration{
		Version: 1,
		Routes: []redwingstall.Route{{
			Name: "sheet-pull", Host: "archivo.example", Prefix: "/s/", Kind: redwingstall.KindDownload, Timeout: clientDeadline, Target: 1200 * time.Millisecond,
			Priority: 2, MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: "archivo", Weight: 1}},
		}},
		Services: map[string]redwingstall.ServiceSpec{"archivo": {Name: "archivo", HealthPath: "/health", MaxConnections: 948, Warmup: 3 * time.Second, WarmupRate: warmupRate}},
		Limits:   redwingstall.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	body := bytes.Repeat([]byte("0123456789abcdef"), downloadBytes/16)
	for n := range 3 {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", 0x7a10+n), service: "archivo", zone: f.site.zones[n], slots: 6, queue: 24, work: 150 * time.Millisecond, body: body,
		}
		if err := u.start(f, n); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := f.addMachine(); err != nil {
			return false, err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(8 * time.Second) {
			return false, fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(6 * time.Second) // well over contact_ms
	m := f.machines[0]
	var clients sync.WaitGroup
	results := make([]downloadResult, 3)
	sentAt := time.Now()
	for n := range results {
		clients.Go(func() { results[n] = download(m, fmt.Sprintf("d%015x", n), body) })
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if hasTrouble {
			stopMachine(r, m, sentAt)
		}
	}()
	clients.Wait()
	<-stopped
	for n, d := range results {
		r.printf("client %d: status %d, %d of %d bytes, ended %v after it was sent: %s", n, d.status, d.received, len(body), d.endedAt.Sub(sentAt).Round(time.Millisecond), d.describe())
		if d.status == 0 && d.received == 0 {
			return false, errors.New("a client got no answer at all")
		}
		if !d.isWhole {
			isBroken = true
		}
	}
	return isBroken, nil
}

// stopMachine sends SIGTERM, and SIGKILL after grace_s.
func stopMachine(r *record, m *machine, sentAt time.Time) {
	time.Sleep(time.Until(sentAt.Add(termAfter)))
	r.printf("%s gets SIGTERM", m.name)
	termAt := time.Now()
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
		r.printf("%s has ended %v after SIGTERM", m.name, time.Since(termAt).Round(time.Millisecond))
	case <-time.After(graceTime):
		r.printf("%s gets SIGKILL", m.name)
		_ = m.process.Process.Kill()
	}
}

type downloadResult struct {
	status   int
	received int
	isWhole  bool
	endedAt  time.Time
	err      error
}

func (d downloadResult) describe() string {
	if d.isWhole {
		return "whole"
	}
	return fmt.Sprintf("the connection ended without a complete answer: %v", d.err)
}

// download sends a request and reads its answer at a steady rate.
func download(m *machine, id string, want []byte) (d downloadResult) {
	defer func() { d.endedAt = time.Now() }()
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		_ = raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
			)
		})
		return err
	}}
	connection, err := dialer.DialContext(context.Background(), "tcp", m.front())
	if err != nil {
		d.err = err
		return d
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(clientDeadline))
	if _, err := fmt.Fprintf(connection, "GET /s/sheet HTTP/1.1\r\nHost: archivo.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n\r\n", id, clientDeadline.Milliseconds()); err != nil {
		d.err = err
		return d
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(connection, 4<<10), nil)
	if err != nil {
		d.err = err
		return d
	}
	defer answer.Body.Close()
	d.status = answer.StatusCode
	sum, part := sha256.New(), make([]byte, 16<<10)
	for began := time.Now(); ; {
		time.Sleep(time.Until(began.Add(time.Duration(float64(d.received) / downloadRate * float64(time.Second)))))
		n, err := answer.Body.Read(part)
		sum.Write(part[:n])
		d.received += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			d.err = err
			return d
		}
	}
	expected := sha256.Sum256(want)
	d.isWhole = answer.StatusCode == http.StatusOK && bytes.Equal(sum.Sum(nil), expected[:]) && answer.Header.Get("Response-Signature") != ""
	return d
}

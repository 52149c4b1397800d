// Package logqueue writes log lines without ever blocking who logs.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines holds about ten seconds of the busiest instance's lines.
	queueLines = 4096
	// linesPerSecond bounds the volume; the busiest measured day has a tenth of it.
	linesPerSecond = 400
)

// Writer passes lines on to another writer from a bounded queue. Lines that
// find the queue full, or that exceed the rate, are dropped and counted; the
// count is written as a line of its own once a second.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewWriter starts passing lines on.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues one line. It always reports success: a failure to log must not
// change what the caller does.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.count()
	}
	return len(line), nil
}

func (w *Writer) count() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped is the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Done is closed when all lines are written after Close.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Close writes what is queued and ends.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	window := time.Now()
	written := 0
	for {
		select {
		case line := <-w.lines:
			if now := time.Now(); now.Sub(window) >= time.Second {
				w.report(out)
				window, written = now, 0
			}
			if written++; written > linesPerSecond {
				w.count()
				continue
			}
			_, _ = out.Write(line) // there is nowhere left to report to
		case <-w.closing:
			w.flush(out)
			return
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			w.report(out)
			return
		}
	}
}

func (w *Writer) report(out io.Writer) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
}

// Package logqueue writes log lines without blocking the caller.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity holds about ten seconds of the busiest instance's lines.
	queueCapacity = 4096
	// maxLinesPerSecond bounds the volume; the busiest measured day had a tenth of it.
	maxLinesPerSecond = 400
)

// Writer forwards lines to another writer from a bounded queue. Lines that arrive
// while the queue is full, or that exceed the rate, are dropped and counted; the count
// is written as a separate line once a second.
type Writer struct {
	lines           chan []byte
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	closing         chan struct{}
	done            chan struct{}
}

// NewWriter returns a writer and starts forwarding lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines:   make(chan []byte, queueCapacity),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues one line. It always reports success: a logging failure must not change
// what the caller does.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDrop()
	}
	return len(line), nil
}

func (w *Writer) countDrop() {
	w.unreportedDrops.Add(1)
	w.totalDrops.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.totalDrops.Load() }

// Done returns a channel that is closed when all lines are written after Close.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	windowStart := time.Now()
	written := 0
	for {
		select {
		case line := <-w.lines:
			if now := time.Now(); now.Sub(windowStart) >= time.Second {
				w.reportDrops(out)
				windowStart, written = now, 0
			}
			if written++; written > maxLinesPerSecond {
				w.countDrop()
				continue
			}
			_, _ = out.Write(line) // a failure to write the log cannot be logged
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
			w.reportDrops(out)
			return
		}
	}
}

func (w *Writer) reportDrops(out io.Writer) {
	if n := w.unreportedDrops.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
}

// Package eviction decides which client connections are closed when descriptors or memory run
// short: those that make their client's progress least, and of these the one that holds the most.
package eviction

import (
	"container/list"
	"sync"
	"time"
)

// StepBytes is the number of bytes that a client has to send or accept for its connection to count
// as progressing. A client that moves single bytes never completes a step.
const StepBytes = 32 << 10

// minStall is the time without progress before a connection is closed for a new one within a request
// or a response: one that has just begun to send or accept has had no time to.
const minStall = 100 * time.Millisecond

// evictInterval is the time between two searches for a connection to close for memory, in which the
// memory of the first one is freed.
const evictInterval = 100 * time.Millisecond

// Table holds the open connections of a listener. It is safe for concurrent use.
type Table struct {
	limit int

	mu      sync.Mutex
	entries map[*Entry]struct{}
	// waiting are the entries that wait for their clients, the longest without progress first.
	waiting *list.List
	evicted int64
	// searchedAt is when EvictLargest last searched.
	searchedAt time.Time
}

// Entry is an open connection.
type Entry struct {
	table  *Table
	client string
	cut    func()
	// element is the place among those that wait for their clients, or nil.
	element *list.Element
	// isWithin is set within a request or a response.
	isWithin   bool
	progressAt time.Time
	held       int64
}

// Holder describes a connection for operators.
type Holder struct {
	// Client is the address of the client.
	Client string
	// Bytes is what is held for it in requests and responses.
	Bytes int64
	// Stalled is the time without progress, or 0 if the connection does not wait for its client.
	Stalled time.Duration
}

// NewTable returns a table that holds at most limit connections.
func NewTable(limit int) *Table {
	return &Table{limit: max(limit, 1), entries: map[*Entry]struct{}{}, waiting: list.New()}
}

// Limit returns the most connections that the table holds.
func (t *Table) Limit() int { return t.limit }

// Add adds a connection that waits for its client's first request. If the table is full, it evicts
// the connection that has waited for its client the longest without progress. It returns nil if
// none waits for its client, or if that one has made progress a moment ago within a request or a
// response: the new connection has to be closed then. The function cut closes the connection. It must
// not block or use the table.
func (t *Table) Add(now time.Time, client string, cut func()) *Entry {
	e := &Entry{table: t, client: client, cut: cut, progressAt: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= t.limit {
		first := t.waiting.Front()
		if first == nil {
			return nil
		}
		oldest := first.Value.(*Entry)
		if oldest.isWithin && now.Sub(oldest.progressAt) < minStall {
			return nil
		}
		t.evict(oldest)
	}
	t.entries[e] = struct{}{}
	e.element = t.waiting.PushBack(e)
	return e
}

// evict removes and closes a connection. The caller holds the lock.
func (t *Table) evict(e *Entry) {
	t.remove(e)
	t.evicted++
	e.cut()
}

func (t *Table) remove(e *Entry) {
	delete(t.entries, e)
	if e.element != nil {
		t.waiting.Remove(e.element)
		e.element = nil
	}
}

// EvictLargest closes the connection that holds the most bytes, of those that have waited for
// their clients without progress for a time. It reports whether there was one. It does nothing within
// evictInterval of the last search.
func (t *Table) EvictLargest(now time.Time, stalled time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.searchedAt) < evictInterval {
		return false
	}
	t.searchedAt = now
	var largest *Entry
	for element := t.waiting.Front(); element != nil; element = element.Next() {
		e := element.Value.(*Entry)
		if now.Sub(e.progressAt) < stalled {
			break // the later ones have made progress since
		}
		if e.held > 0 && (largest == nil || e.held > largest.held) {
			largest = e
		}
	}
	if largest == nil {
		return false
	}
	t.evict(largest)
	return true
}

// Largest returns the connection that holds the most bytes, or the zero value if none holds any.
func (t *Table) Largest(now time.Time) Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	var largest *Entry
	for e := range t.entries {
		if e.held > 0 && (largest == nil || e.held > largest.held) {
			largest = e
		}
	}
	if largest == nil {
		return Holder{}
	}
	h := Holder{Client: largest.client, Bytes: largest.held}
	if largest.element != nil {
		h.Stalled = now.Sub(largest.progressAt)
	}
	return h
}

// Counts returns the number of connections, of those that wait for their clients, and of those
// evicted since the start.
func (t *Table) Counts() (open, waiting int, evicted int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.waiting.Len(), t.evicted
}

// Progress records that the client has completed a step: a request, a response, or StepBytes.
func (e *Entry) Progress(now time.Time) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.progressAt = now
	if e.element != nil {
		e.table.waiting.MoveToBack(e.element)
	}
}

// SetWaiting records whether the connection waits for its client. One that begins to wait has just
// made progress.
func (e *Entry) SetWaiting(now time.Time, isWaiting bool) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if _, isOpen := e.table.entries[e]; !isOpen || isWaiting == (e.element != nil) {
		return
	}
	if isWaiting {
		e.progressAt = now
		e.element = e.table.waiting.PushBack(e)
		return
	}
	e.table.waiting.Remove(e.element)
	e.element = nil
}

// SetWithin records whether the connection is within a request or a response, as opposed to idle.
func (e *Entry) SetWithin(isWithin bool) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.isWithin = isWithin
}

// Hold adds to the bytes that are held for the client, or subtracts from them.
func (e *Entry) Hold(bytes int64) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.held += bytes
}

// Remove removes a connection that has ended. It may be called again.
func (e *Entry) Remove() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.table.remove(e)
}

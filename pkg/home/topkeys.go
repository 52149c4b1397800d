package home

import "container/heap"

// topKeys counts the most frequent keys in bounded memory by the Space-Saving
// algorithm. When all counters are in use, a new key replaces the key with the
// lowest count and inherits that count. The error of a count is at most the number
// of requests divided by the capacity. (Metwally, Agrawal, El Abbadi, "Efficient
// Computation of Frequent and Top-k Elements in Data Streams", 2005.)
type topKeys struct {
	capacity int
	counters map[string]*keyCounter
	byCount  counterHeap
}

type keyCounter struct {
	key   string
	count float64
	// overestimate is the inherited part of the count. It bounds the error.
	overestimate float64
	// index is the position in the heap.
	index int
}

func newTopKeys(capacity int) *topKeys {
	return &topKeys{capacity: capacity, counters: map[string]*keyCounter{}}
}

func (t *topKeys) add(key string) {
	if counter := t.counters[key]; counter != nil {
		counter.count++
		heap.Fix(&t.byCount, counter.index)
		return
	}
	if len(t.counters) < t.capacity {
		counter := &keyCounter{key: key, count: 1}
		t.counters[key] = counter
		heap.Push(&t.byCount, counter)
		return
	}
	least := t.byCount[0]
	delete(t.counters, least.key)
	least.key = key
	least.overestimate = least.count
	least.count++
	t.counters[key] = least
	heap.Fix(&t.byCount, 0)
}

// minCounts returns a lower bound of the requests of each key.
func (t *topKeys) minCounts() map[string]float64 {
	counts := make(map[string]float64, len(t.counters))
	for key, counter := range t.counters {
		counts[key] = counter.count - counter.overestimate
	}
	return counts
}

// counterHeap is a min-heap of counters by count. It implements [heap.Interface].
type counterHeap []*keyCounter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a counter. Use [heap.Push] instead.
func (h *counterHeap) Push(x any) {
	counter := x.(*keyCounter)
	counter.index = len(*h)
	*h = append(*h, counter)
}

// Pop removes the last counter. Use [heap.Pop] instead.
func (h *counterHeap) Pop() any {
	old := *h
	counter := old[len(old)-1]
	*h = old[:len(old)-1]
	return counter
}

package home

import "container/heap"

// topKeys counts the most frequent keys in bounded memory: a new key takes the
// place of the rarest one and inherits its count, which bounds the error by the
// number of requests over the number of places. (Metwally, Agrawal, El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams", 2005.)
type topKeys struct {
	size  int
	items map[string]*counted
	order countedHeap
}

type counted struct {
	key   string
	count float64
	// excess is the count that was inherited.
	excess float64
	index  int
}

func newTopKeys(size int) *topKeys {
	return &topKeys{size: size, items: map[string]*counted{}}
}

func (t *topKeys) add(key string) {
	if item := t.items[key]; item != nil {
		item.count++
		heap.Fix(&t.order, item.index)
		return
	}
	if len(t.items) < t.size {
		item := &counted{key: key, count: 1}
		t.items[key] = item
		heap.Push(&t.order, item)
		return
	}
	rarest := t.order[0]
	delete(t.items, rarest.key)
	rarest.key = key
	rarest.excess = rarest.count
	rarest.count++
	t.items[key] = rarest
	heap.Fix(&t.order, 0)
}

// counts returns the requests that each key certainly had.
func (t *topKeys) counts() map[string]float64 {
	counts := make(map[string]float64, len(t.items))
	for key, item := range t.items {
		counts[key] = item.count - item.excess
	}
	return counts
}

// countedHeap has the rarest key first.
type countedHeap []*counted

func (h countedHeap) Len() int           { return len(h) }
func (h countedHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h countedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is heap.Interface's.
func (h *countedHeap) Push(x any) {
	item := x.(*counted)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop is heap.Interface's.
func (h *countedHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	return item
}

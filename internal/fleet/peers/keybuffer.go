package peers

import "sync"

// maxBufferedKeys bounds the keys of a service that are buffered for a failure
// domain's sums: about what its instances serve in two exchanges.
const maxBufferedKeys = 1000

// keyBuffer collects keys by service until they are drained. The zero value is empty.
// It is safe for concurrent use.
type keyBuffer struct {
	mu   sync.Mutex
	keys map[string][]int
}

func (b *keyBuffer) add(keys map[string][]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keys == nil {
		b.keys = map[string][]int{}
	}
	for service, serviceKeys := range keys {
		capacityLeft := max(maxBufferedKeys-len(b.keys[service]), 0)
		b.keys[service] = append(b.keys[service], serviceKeys[:min(capacityLeft, len(serviceKeys))]...)
	}
}

func (b *keyBuffer) drain() map[string][]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	drained := b.keys
	b.keys = nil
	return drained
}

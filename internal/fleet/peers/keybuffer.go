package peers

import "sync"

// maxBuffered keys of a service are kept for a failure domain's sums: about what
// its instances serve in two exchanges.
const maxBuffered = 1000

// keyBuffer gathers keys by service until they are taken. The zero value is empty.
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
	for service, list := range keys {
		free := max(maxBuffered-len(b.keys[service]), 0)
		b.keys[service] = append(b.keys[service], list[:min(free, len(list))]...)
	}
}

func (b *keyBuffer) take() map[string][]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.keys
	b.keys = nil
	return taken
}

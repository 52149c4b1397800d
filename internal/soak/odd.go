package soak

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall/platform/platformtest"
)

const (
	// oddInterval is the time between two writes of odd entries.
	oddInterval = 60 * time.Millisecond
	// oddKeys is the number of keys that hold them.
	oddKeys = 4
	// memoryLimit is the platform's limit of the resident memory of an instance, in bytes.
	memoryLimit = 284 << 20
)

// writeOddEntries leaves odd entries among those of the servers, as another writer may. It has a
// random sequence of its own, so that the other faults of a seed stay as they were.
func (s *Soak) writeOddEntries(duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 4))
	key := func(n int) string { return fmt.Sprintf("servers/odd-%d", n) }
	most := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(oddInterval) {
		service := []string{"keyed", "charges"}[random.IntN(2)]
		entries := platformtest.OddEntries(service, s.pickBackend(random.IntN(1<<20)).proxy.address())
		names := slices.Sorted(maps.Keys(entries))
		name := names[random.IntN(len(names))]
		if random.IntN(4) == 0 {
			name = platformtest.LargestEntry // many of them fill memories that are bounded by a count
		}
		s.store.PutBytes(key(random.IntN(oddKeys)), entries[name])
		most = max(most, s.checkMemory())
	}
	for n := range oddKeys {
		s.store.Remove(key(n))
	}
	s.printf("odd entries end; at most %d MB of memory in use", most>>20)
}

// checkMemory records instances above the memory limit as violations. It returns the most
// memory that any of them uses, in bytes.
func (s *Soak) checkMemory() (most int) {
	for _, i := range s.instances {
		used := i.residentBytes()
		if used > memoryLimit {
			s.ledger.RecordViolation("%s uses %d MB, over its limit", i.name, used>>20)
		}
		most = max(most, used)
	}
	return most
}

// residentBytes returns the resident memory of the process without the pages of files, or zero
// if it does not run.
func (i *instance) residentBytes() int {
	i.mu.Lock()
	process := i.process
	i.mu.Unlock()
	if process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident, shared int
	if _, err := fmt.Fscan(bytes.NewReader(text), &size, &resident, &shared); err != nil {
		return 0
	}
	return (resident - shared) * os.Getpagesize()
}

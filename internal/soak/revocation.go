package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// heldRequests is the number of requests that wait in the buffers of a process while it is
	// stopped.
	heldRequests = 20
	// owedService is how long after the loss of the store requests with a key are owed service.
	owedService = revocationBound * 6 / 10
	// checkInterval is the time between two requests of a check.
	checkInterval = 100 * time.Millisecond
)

// RunRevocation removes an API key while one instance is stopped, and then while another one reaches
// neither the store nor other instances, and returns the violations. It needs three instances: the
// first two watch the store, and the last one learns from them.
func RunRevocation(config Config) ([]string, error) {
	s := newSoak(config)
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(startupDelay)
	s.checkServed(time.Second)
	s.removeKeyWhileStopped()
	for i := range s.instances {
		s.awaitServed(i, 2*time.Second)
	}
	s.removeKeyWhileCutOff()
	s.printf("responses by status %v", s.statuses)
	return s.ledger.Violations(), nil
}

// checkServed checks in calm operation that known keys are served and unknown ones rejected.
func (s *Soak) checkServed(duration time.Duration) {
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		for i := range s.instances {
			s.expectStatus(i, fmt.Sprintf("calm-%d-%d", i, n), lastingKey, http.StatusOK)
			s.expectStatus(i, fmt.Sprintf("calm-unknown-%d-%d", i, n), unknownKey, http.StatusUnauthorized)
		}
		time.Sleep(checkInterval)
	}
}

func (s *Soak) expectStatus(instance int, id, key string, expected int) {
	if status := s.client(instance).sendWithKey(context.Background(), id, key); status != expected {
		s.ledger.RecordViolation("request %s got %d, expected %d", id, status, expected)
	}
}

// removeKeyWhileStopped sends requests with a key that was removed while the process was stopped.
// It gets them when it goes on, together with what the others had sent it before.
func (s *Soak) removeKeyWhileStopped() {
	last := len(s.instances) - 1
	stopped := s.instances[last]
	newest, _ := s.newestKeys()
	stopped.signal(syscall.SIGSTOP)
	s.configure(0)
	s.configure(0)
	time.Sleep(revocationBound + checkInterval)
	requests := sync.WaitGroup{}
	for n := range heldRequests {
		requests.Go(func() { s.expectRefused(last, fmt.Sprintf("held-%d", n), newest.key) })
	}
	time.Sleep(2 * checkInterval)
	s.ledger.AllowLateGrants(delayedGrantWindow)
	stopped.signal(syscall.SIGCONT)
	requests.Wait()
}

// expectRefused sends a request with a removed key.
func (s *Soak) expectRefused(instance int, id, key string) {
	status := s.client(instance).sendWithKey(context.Background(), id, key)
	if status != http.StatusServiceUnavailable && status != http.StatusUnauthorized || s.ledger.RunCount(id) > 0 {
		s.ledger.RecordViolation("request %s with a removed key got %d and ran %d times", id, status, s.ledger.RunCount(id))
	}
}

// awaitServed waits until an instance serves requests with a key.
func (s *Soak) awaitServed(instance int, atMost time.Duration) {
	for n, end := 0, time.Now().Add(atMost); time.Now().Before(end); n++ {
		if s.client(instance).sendWithKey(context.Background(), fmt.Sprintf("again-%d-%d", instance, n), lastingKey) == http.StatusOK {
			return
		}
		time.Sleep(checkInterval)
	}
	s.ledger.RecordViolation("%s does not serve requests with a key again", s.instances[instance].name)
}

// removeKeyWhileCutOff checks that an instance without the store and the others serves requests
// with a key as long as they are owed service, and none with a key that was removed meanwhile.
func (s *Soak) removeKeyWhileCutOff() {
	newest, _ := s.newestKeys()
	for _, i := range s.instances[1:] {
		i.signal(syscall.SIGSTOP)
	}
	s.instances[0].store.set(true, false, 0)
	cutAt := time.Now()
	s.configure(0)
	s.configure(0)
	for n := 0; time.Since(cutAt) < owedService; n++ {
		s.expectStatus(0, fmt.Sprintf("owed-%d", n), lastingKey, http.StatusOK)
		time.Sleep(checkInterval)
	}
	time.Sleep(time.Until(cutAt.Add(revocationBound + checkInterval)))
	s.expectRefused(0, "cut", newest.key)
	s.expectStatus(0, "cut-known", lastingKey, http.StatusServiceUnavailable)
	s.expectStatus(0, "cut-unknown", unknownKey, http.StatusServiceUnavailable)
	s.checkAnonymous()
}

// checkAnonymous checks that the instance serves anonymous requests. Each version has a route for
// them. The instance has one of the last three: an answer of the store may be on its way at the cut.
func (s *Soak) checkAnonymous() {
	newest, _ := s.newestVersion()
	statuses := []int{}
	for version := newest; version > newest-3; version-- {
		statuses = append(statuses, s.client(0).sendRequest(context.Background(), fmt.Sprintf("anonymous-%d", version), http.MethodGet, fmt.Sprintf("/version%d/x", version), noKey))
	}
	if !slices.Contains(statuses, http.StatusOK) {
		s.ledger.RecordViolation("anonymous requests without the store got %v", statuses)
	}
}

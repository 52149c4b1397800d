package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/redwingstall/redwingstall/platform/platformtest"
)

const (
	// deadlyPrefix begins the paths of requests that end the server which runs them.
	deadlyPrefix = "/charge/deadly-"
	// maxDeadlyEnds is how many servers may end under one such request.
	maxDeadlyEnds = 3
)

func isDeadly(path string) bool { return strings.HasPrefix(path, deadlyPrefix) }

// sendDeadlyRequests makes a client repeat a request that ends each server which runs it, at one
// instance after the other. It has a random sequence of its own, so that the other faults of a
// seed stay as they were.
func (s *Soak) sendDeadlyRequests(duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 5))
	for end, n := time.Now().Add(duration), 0; time.Now().Before(end); n++ {
		c := s.client(2000 + random.IntN(len(s.instances)))
		c.sendRequest(context.Background(), fmt.Sprintf("deadly-%d", n), http.MethodPost, deadlyPrefix+"1", noKey)
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
	}
}

// endServer ends a server under a deadly request, and replaces it after a time. A server that is
// still needed goes on: only the connection of the request breaks, which shows no end.
func (s *Soak) endServer(server *platformtest.Server, path string) {
	ended := s.backendOf(server)
	if ended == nil || !s.removeBackend(ended) {
		return
	}
	s.mu.Lock()
	s.deadlyEnds[path]++
	ends := s.deadlyEnds[path]
	s.mu.Unlock()
	s.printf("%s ended under %s", server.ID, path)
	if ends > maxDeadlyEnds {
		s.ledger.RecordViolation("%d servers ended under %s", ends, path)
	}
	ended.proxy.close()
	go func() {
		server.Crash()
		time.Sleep(demandPause)
		s.store.Unregister(server)
		s.replace(ended.Service)
	}()
}

// backendOf returns the backend of a server, or nil if other faults have it.
func (s *Soak) backendOf(server *platformtest.Server) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b.Server == server {
			return b
		}
	}
	return nil
}

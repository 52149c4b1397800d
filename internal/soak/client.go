package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// client sends requests to one instance over kept connections and checks the
// answers.
type client struct {
	soak     *Soak
	instance *instance
	http     *http.Client
	random   *rand.Rand
	number   int

	// sawVersion is the newest version whose route was served, by start of the
	// instance's process.
	mu         sync.Mutex
	sawVersion map[int]int64
}

const (
	patience = 1500 * time.Millisecond
	noKey    = -1
)

func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", c.instance.name, c.number, n)
		switch c.random.IntN(10) {
		case 0, 1, 2:
			c.ask(ctx, id, http.MethodPost, "/charge/x", noKey)
		case 3:
			c.probeVersion(ctx, id)
		default:
			c.ask(ctx, id, http.MethodGet, "/keyed/x", c.random.IntN(redwingstall.Keys))
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

// ask sends one request and checks what came of it.
func (c *client) ask(ctx context.Context, id, method, path string, key int) (status int) {
	ctx, cancel := context.WithTimeout(ctx, patience+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.front()+path, strings.NewReader("body of "+id))
	if err != nil {
		c.soak.ledger.Violate("request not made: %v", err)
		return 0
	}
	request.Host = "h"
	platformtest.SetRequest(request.Header, id, patience, key)
	answer, err := c.http.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0
	}
	c.soak.count(answer.StatusCode)
	switch answer.StatusCode {
	case http.StatusOK:
		if want := id + " " + path + " body of " + id; string(body) != want {
			c.soak.ledger.Violate("request %s got the answer %q", id, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if method == http.MethodPost {
			c.soak.promise(id)
		}
	}
	return answer.StatusCode
}

// probeVersion asks for the route that the newest version added. Once a process
// has served it, it must not forget it while no newer version took it away.
func (c *client) probeVersion(ctx context.Context, id string) {
	version, since := c.soak.newestVersion()
	generation := c.instance.generation()
	status := c.ask(ctx, id, http.MethodGet, fmt.Sprintf("/version%d/x", version), noKey)
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == http.StatusOK {
		c.sawVersion[generation] = max(c.sawVersion[generation], version)
	}
	newest, _ := c.soak.newestVersion()
	if status != http.StatusNotFound || newest != version || c.instance.generation() != generation {
		return
	}
	if c.sawVersion[generation] == version {
		c.soak.ledger.Violate("%s forgot version %d", c.instance.name, version)
	}
	if time.Since(since) > applyBound+contact && c.instance.calmFor() > applyBound+contact && c.soak.storeCalmFor() > applyBound+contact {
		c.soak.ledger.Violate("%s has not applied version %d after %v", c.instance.name, version, time.Since(since))
	}
}

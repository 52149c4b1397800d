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

// client sends requests to one instance over persistent connections and checks the
// responses.
type client struct {
	soak     *Soak
	instance *instance
	http     *http.Client
	random   *rand.Rand
	number   int

	// servedVersions holds the newest configuration version whose route was served, by
	// the start count of the instance.
	mu             sync.Mutex
	servedVersions map[int]int64
	// leavingSeen holds when a response of a server said that it leaves.
	leavingSeen map[leavingKey]time.Time
}

// leavingKey is a server whose response passed through an instance since its last start.
type leavingKey struct {
	generation int
	server     string
}

const (
	clientTimeout = 1500 * time.Millisecond
	noKey         = -1
)

func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", c.instance.name, c.number, n)
		switch c.random.IntN(10) {
		case 0, 1, 2:
			c.sendRequest(ctx, id, http.MethodPost, "/charge/x", noKey)
		case 3:
			c.probeVersion(ctx, id)
			c.probeKeys(ctx, id)
		default:
			c.sendRequest(ctx, id, http.MethodGet, "/keyed/x", c.random.IntN(redwingstall.KeyCount))
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

// sendRequest sends one request, checks the response and returns its status, or 0 if
// there was no response. The ID of a POST that was answered with 503 or 429 is kept
// for checkRejectedNotRun.
func (c *client) sendRequest(ctx context.Context, id, method, path string, key int) (status int) {
	return c.sendAs(ctx, id, method, path, key, c.credentialOf(id, path))
}

// sendAs sends one request with an API key, or none.
func (c *client) sendAs(ctx context.Context, id, method, path string, key int, credential string) (status int) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout+time.Second)
	defer cancel()
	requestBody := "body of " + id
	if isDeadly(path) {
		requestBody = "the same each time"
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.frontAddress()+path, strings.NewReader(requestBody))
	if err != nil {
		c.soak.ledger.RecordViolation("request could not be created: %v", err)
		return 0
	}
	request.Host = "h"
	platformtest.SetRequest(request.Header, id, clientTimeout, key)
	setCredential(request.Header, credential)
	sentAt, generation := time.Now(), c.instance.startCount()
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
	c.checkLeaving(id, answer.Header, sentAt, generation)
	switch answer.StatusCode {
	case http.StatusOK:
		if want := id + " " + path + " " + requestBody; string(body) != want {
			c.soak.ledger.RecordViolation("request %s got an unexpected response body %q", id, body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if method == http.MethodPost {
			c.soak.recordRejected(id)
		}
	}
	return answer.StatusCode
}

// probeVersion requests the route that the newest configuration version added. Once
// a process has served the route, it must keep serving it until a newer version
// removes it. A process that was undisturbed long enough must have applied the
// version within applyBound.
func (c *client) probeVersion(ctx context.Context, id string) {
	version, writtenAt := c.soak.newestVersion()
	generation := c.instance.startCount()
	status := c.sendRequest(ctx, id, http.MethodGet, fmt.Sprintf("/version%d/x", version), noKey)
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == http.StatusOK {
		c.servedVersions[generation] = max(c.servedVersions[generation], version)
	}
	newest, _ := c.soak.newestVersion()
	if status != http.StatusNotFound || newest != version || c.instance.startCount() != generation {
		return
	}
	if c.servedVersions[generation] == version {
		c.soak.ledger.RecordViolation("%s stopped serving the route of configuration version %d", c.instance.name, version)
	}
	if time.Since(writtenAt) > applyBound+requiredCalm && c.instance.undisturbedFor() > applyBound+requiredCalm && c.soak.storeUndisturbedFor() > applyBound+requiredCalm {
		c.soak.ledger.RecordViolation("%s has not applied configuration version %d after %v", c.instance.name, version, time.Since(writtenAt))
	}
}

// checkLeaving checks that an instance which has passed on a server's announcement to leave
// sends it no request that a client sent later than drainBound after that. A disturbance of
// the instance since then excuses it.
func (c *client) checkLeaving(id string, header http.Header, sentAt time.Time, generation int) {
	server, isLeaving := platformtest.AnnouncesLeaving(header)
	if !isLeaving || c.instance.startCount() != generation {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := leavingKey{generation, server}
	seenAt, wasSeen := c.leavingSeen[key]
	if !wasSeen {
		c.leavingSeen[key] = time.Now()
		return
	}
	if sentAt.Sub(seenAt) > drainBound && c.instance.undisturbedFor() > time.Since(seenAt) {
		c.soak.ledger.RecordViolation("request %s went to %s through %s, %v after it had passed on that the server leaves", id, server, c.instance.name, sentAt.Sub(seenAt))
	}
}

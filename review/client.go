//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
)

// ask sends a request of a client, and records it and its answer. A negative key is none.
func ask(d *deployment, client *http.Client, g *gateway, method, path, id string, key int) {
	request, err := http.NewRequest(method, "http://"+g.front+path, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", fmt.Sprint(client.Timeout.Milliseconds()))
	if key >= 0 {
		request.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	d.record("client sends %s, key %d, to %s", id, key, g.name)
	answer, err := client.Do(request)
	if err != nil {
		d.record("client: %s has no answer: %v", id, err)
		return
	}
	defer answer.Body.Close()
	_, _ = io.ReadAll(answer.Body)
	d.record("client: %s is answered %d", id, answer.StatusCode)
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request sends one request to an entry instance and returns its status, 0 for none, and whether it bears a signature.
func request(client *http.Client, address, method, path, body string, deadline time.Duration) (id string, status int, signed bool) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return id, 0, false
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Chervilrail-Attempt-Id", id)
	r.Header.Set("X-Chervilrail-Affinity-Key", "17")
	r.Header.Set("X-Chervilrail-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return id, 0, false
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return id, 0, false
	}
	return id, response.StatusCode, response.Header.Get("X-Chervilrail-Server-Signature") != ""
}

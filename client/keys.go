package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosemount/primrosemount/core/once"
	"github.com/primrosemount/primrosemount/core/outcome"
)

const (
	// maxKeyAge is the time for which an unused key is kept. It is half of the time
	// within which an executor accepts a new key, so that time remains for the
	// attempts.
	maxKeyAge = once.DefaultStartWindow / 2
	// refillDivisor sets the refill threshold: new keys are fetched when at most a
	// batch divided by refillDivisor is left.
	refillDivisor = 4
	// refillTimeout is the time limit of a background request for keys.
	refillTimeout = 5 * time.Second
	// maxKeyResponseBytes is the maximum size of a response to a request for keys.
	maxKeyResponseBytes = 1 << 20
)

// pooledKey is an unused key and the time at which it was received.
type pooledKey struct {
	key      string
	received time.Time
}

// keyPool holds unused idempotency keys by service.
type keyPool struct {
	batch int
	mu    sync.Mutex
	keys  map[string][]pooledKey
	// refilling holds the services for which a background request is running.
	refilling map[string]bool
}

func newKeyPool(batch int) *keyPool {
	return &keyPool{batch: batch, keys: make(map[string][]pooledKey), refilling: make(map[string]bool)}
}

// take removes and returns the oldest usable key, or returns "" if there is none.
// refill is true if the caller must refill the pool in the background.
func (s *keyPool) take(service string, now time.Time) (key string, refill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := slices.DeleteFunc(s.keys[service], func(k pooledKey) bool {
		return now.Sub(k.received) > maxKeyAge
	})
	if len(keys) > 0 {
		key = keys[0].key
		keys = slices.Delete(keys, 0, 1)
	}
	s.keys[service] = keys
	refill = key != "" && len(keys) <= s.batch/refillDivisor && !s.refilling[service]
	if refill {
		s.refilling[service] = true
	}
	return key, refill
}

// add adds keys to the pool, which holds at most two batches per service.
func (s *keyPool) add(service string, keys []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if len(s.keys[service]) >= 2*s.batch {
			return
		}
		s.keys[service] = append(s.keys[service], pooledKey{key: key, received: now})
	}
}

// refillDone marks the background request for the service as finished.
func (s *keyPool) refillDone(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refilling, service)
}

// dropExecutor removes the keys that are bound to the given executor.
func (s *keyPool) dropExecutor(service string, executor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[service] = slices.DeleteFunc(s.keys[service], func(k pooledKey) bool {
		parsed, err := once.ParseKey(k.key)
		return err == nil && parsed.Executor == executor
	})
}

// dropFailingKeys removes unused keys that would fail for the same reason as the key of
// f: their executor has been removed or is draining, or its target is down.
func (c *Client) dropFailingKeys(k *call, f *failure) {
	switch f.problem.Reason {
	case outcome.ExecutorGone, outcome.Draining, outcome.TargetDown:
		if parsed, err := once.ParseKey(f.key); err == nil {
			c.keys.dropExecutor(k.service, parsed.Executor)
		}
	}
}

// takeKey returns an unused key from the pool, or else from a node.
func (c *Client) takeKey(ctx context.Context, service string) (string, error) {
	key, refill := c.keys.take(service, time.Now())
	if refill {
		c.refillInBackground(service)
	}
	if key != "" {
		return key, nil
	}
	keys, err := c.fetchKeys(ctx, service)
	if err != nil {
		return "", err
	}
	c.keys.add(service, keys[1:], time.Now())
	return keys[0], nil
}

// refillInBackground fetches a batch of keys for the service without delaying the caller.
func (c *Client) refillInBackground(service string) {
	c.refills.Go(func() {
		defer c.keys.refillDone(service)
		ctx, cancel := context.WithTimeout(c.ctx, refillTimeout)
		defer cancel()
		// An error is ignored here. The next call that finds the pool empty fetches
		// keys and reports the error.
		if keys, err := c.fetchKeys(ctx, service); err == nil {
			c.keys.add(service, keys, time.Now())
		}
	})
}

// fetchKeys requests a batch of keys from up to MaxAttempts nodes. It returns at
// least one key, or the error of the last node with the outcome "not run", since
// the operation has not been sent yet.
func (c *Client) fetchKeys(ctx context.Context, service string) ([]string, error) {
	var lastNode *node
	var lastFailure *failure
	for range min(len(c.nodes.nodes), c.options.MaxAttempts) {
		lastNode = c.nodes.pick(lastNode)
		keys, f := c.fetchKeysFrom(ctx, lastNode, service)
		if f == nil {
			return keys, nil
		}
		lastFailure = f
		if ctx.Err() != nil || !f.problem.Retryable(true) {
			break
		}
	}
	problem := *lastFailure.problem
	problem.Outcome = outcome.NotRun
	problem.Detail = "no idempotency key could be obtained: " + problem.Detail
	return nil, &Error{Problem: &problem, Status: lastFailure.status, Cause: lastFailure.cause}
}

// fetchKeysFrom requests a batch of keys from one node.
func (c *Client) fetchKeysFrom(ctx context.Context, n *node, service string) ([]string, *failure) {
	k := &call{service: service}
	query := url.Values{"count": {strconv.Itoa(c.keys.batch)}}
	endpoint := n.base + "/v1/services/" + url.PathEscape(service) + "/keys?" + query.Encode()
	sent := new(atomic.Bool)
	request, err := http.NewRequestWithContext(trackSending(ctx, sent), http.MethodPost, endpoint, nil)
	if err != nil {
		return nil, k.noResponseFailure(ctx, err, false)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			n.markFailed()
		}
		return nil, k.noResponseFailure(ctx, err, sent.Load())
	}
	defer response.Body.Close()
	body, err := readComplete(response, maxKeyResponseBytes)
	if err != nil {
		return nil, k.incompleteFailure(ctx, response, err)
	}
	if problem := readProblem(response, body); problem != nil {
		return nil, k.problemFailure(response, problem)
	}
	return readKeys(response, body)
}

// readKeys returns the keys in a response, of which there is at least one.
func readKeys(response *http.Response, body []byte) ([]string, *failure) {
	var document struct {
		Keys []string `json:"keys"`
	}
	err := json.Unmarshal(body, &document)
	if err == nil && response.StatusCode/100 == 2 && len(document.Keys) > 0 {
		return document.Keys, nil
	}
	detail := fmt.Sprintf("the node answered status %d without keys", response.StatusCode)
	problem := outcome.New(outcome.NotRun, outcome.ConnectFailed, detail)
	return nil, &failure{problem: problem, status: response.StatusCode, cause: err}
}

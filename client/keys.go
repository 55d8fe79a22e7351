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
	// keyMaxAge is how long a key is kept in stock: half of the start window, so
	// that time is left for the attempts.
	keyMaxAge = once.DefaultStartWindow / 2
	// refillShare of a batch is the stock at which new keys are fetched.
	refillShare = 4
	// refillTimeout bounds a background request for keys.
	refillTimeout = 5 * time.Second
	// keyResponseBytes bounds the answer to a request for keys.
	keyResponseBytes = 1 << 20
)

type stockedKey struct {
	key      string
	received time.Time
}

// keyStock holds unused keys by service.
type keyStock struct {
	batch int
	mu    sync.Mutex
	keys  map[string][]stockedKey
	// filling has the services for which a background request runs.
	filling map[string]bool
}

func newKeyStock(batch int) *keyStock {
	return &keyStock{batch: batch, keys: make(map[string][]stockedKey), filling: make(map[string]bool)}
}

// take returns the oldest usable key, or nothing, and whether the caller is to
// refill the stock.
func (s *keyStock) take(service string, now time.Time) (key string, refill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := slices.DeleteFunc(s.keys[service], func(k stockedKey) bool {
		return now.Sub(k.received) > keyMaxAge
	})
	if len(keys) > 0 {
		key = keys[0].key
		keys = slices.Delete(keys, 0, 1)
	}
	s.keys[service] = keys
	refill = key != "" && len(keys) <= s.batch/refillShare && !s.filling[service]
	if refill {
		s.filling[service] = true
	}
	return key, refill
}

// add puts keys into the stock, up to two batches.
func (s *keyStock) add(service string, keys []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if len(s.keys[service]) >= 2*s.batch {
			return
		}
		s.keys[service] = append(s.keys[service], stockedKey{key: key, received: now})
	}
}

func (s *keyStock) filled(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.filling, service)
}

// dropExecutor removes the keys that name an executor.
func (s *keyStock) dropExecutor(service string, executor uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[service] = slices.DeleteFunc(s.keys[service], func(k stockedKey) bool {
		parsed, err := once.ParseKey(k.key)
		return err == nil && parsed.Executor == executor
	})
}

// forgetKeys drops stocked keys that would fail like the key of f did.
func (c *Client) forgetKeys(k *call, f *failure) {
	switch f.problem.Reason {
	case outcome.ExecutorGone, outcome.Draining, outcome.TargetDown:
		if parsed, err := once.ParseKey(f.key); err == nil {
			c.keys.dropExecutor(k.service, parsed.Executor)
		}
	}
}

// takeKey returns an unused key from the stock or from a node.
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

func (c *Client) refillInBackground(service string) {
	c.refills.Go(func() {
		defer c.keys.filled(service)
		ctx, cancel := context.WithTimeout(c.ctx, refillTimeout)
		defer cancel()
		// Without new keys, the next call that needs one reports the error.
		if keys, err := c.fetchKeys(ctx, service); err == nil {
			c.keys.add(service, keys, time.Now())
		}
	})
}

// fetchKeys asks up to MaxAttempts nodes for a batch of keys. It returns at least
// one key or the error of the last node. Nothing has run in that case.
func (c *Client) fetchKeys(ctx context.Context, service string) ([]string, error) {
	var last *node
	var failed *failure
	for range min(len(c.nodes.nodes), c.options.MaxAttempts) {
		last = c.nodes.pick(last)
		keys, f := c.fetchKeysFrom(ctx, last, service)
		if f == nil {
			return keys, nil
		}
		failed = f
		if ctx.Err() != nil || !f.problem.Retryable(true) {
			break
		}
	}
	problem := *failed.problem
	problem.Outcome = outcome.NotRun
	problem.Detail = "no idempotency key could be obtained: " + problem.Detail
	return nil, &Error{Problem: &problem, Status: failed.status, Cause: failed.cause}
}

func (c *Client) fetchKeysFrom(ctx context.Context, n *node, service string) ([]string, *failure) {
	k := &call{service: service}
	query := url.Values{"count": {strconv.Itoa(c.keys.batch)}}
	target := n.base + "/v1/services/" + url.PathEscape(service) + "/keys?" + query.Encode()
	sent := new(atomic.Bool)
	request, err := http.NewRequestWithContext(trackSending(ctx, sent), http.MethodPost, target, nil)
	if err != nil {
		return nil, k.lost(ctx, err, false)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			n.failed()
		}
		return nil, k.lost(ctx, err, sent.Load())
	}
	defer response.Body.Close()
	body, err := readWhole(response, keyResponseBytes)
	if err != nil {
		return nil, k.incomplete(ctx, response, err)
	}
	if problem := readProblem(response, body); problem != nil {
		return nil, k.refused(response, problem)
	}
	return readKeys(response, body)
}

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

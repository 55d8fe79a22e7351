package httpserver

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// nopRequest is a request that counts its releases.
type nopRequest struct{ releases int }

func (*nopRequest) Concurrent() bool                   { return true }
func (*nopRequest) Respond(context.Context, *Response) {}
func (r *nopRequest) Release(error)                    { r.releases++ }

// Guards, for every order of arrivals, completions, writes and closing, against a
// non-idempotent request that runs beside or ahead of others, a response out of
// order, a request that runs behind the last response or after it was given up, more
// running requests than allowed, and a connection that neither continues nor ends.
func TestPipelineKeepsOrderAndStartsNothingBehindLastResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pipeline{}
		var arrived, active []*exchange
		removed := map[*exchange]bool{}
		position := map[*exchange]int{}
		nextWritten := 0
		ended := false
		drop := func(gone []*exchange) {
			for _, e := range gone {
				require.Equal(t, received, e.state, "a request that was started is given up")
				removed[e] = true
			}
		}
		startAll := func() {
			for e := p.start(); e != nil; e = p.start() {
				require.False(t, ended)
				require.False(t, removed[e])
				for _, earlier := range arrived[:position[e]] {
					pending := position[earlier] >= nextWritten
					require.False(t, pending && (!e.concurrent || !earlier.concurrent), "a non-idempotent request runs beside another one")
				}
				active = append(active, e)
				require.LessOrEqual(t, len(active), maxRunning)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				e := &exchange{request: &nopRequest{}, concurrent: rapid.Bool().Draw(t, "idempotent")}
				if p.full() || !p.add(e) {
					return
				}
				position[e] = len(arrived)
				arrived = append(arrived, e)
				if rapid.IntRange(0, 9).Draw(t, "final") == 0 {
					p.seal()
				}
				startAll()
			},
			"complete": func(t *rapid.T) {
				if len(active) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(active)-1).Draw(t, "which")
				e := active[i]
				active = append(active[:i:i], active[i+1:]...)
				e.response.Body = make([]byte, rapid.SampledFrom([]int{0, 100, maxHeldBytes + 1}).Draw(t, "size"))
				e.response.Close = rapid.IntRange(0, 9).Draw(t, "close") == 0
				drop(p.complete(e))
				startAll()
			},
			"write": func(t *rapid.T) {
				e, last := p.next()
				if e == nil {
					t.Skip("no response is due")
				}
				require.False(t, ended, "a response follows the last one")
				require.Equal(t, nextWritten, position[e], "a response is written out of order")
				nextWritten++
				p.written()
				if last {
					ended = true
					require.Empty(t, active, "a started request is behind the last response")
				}
				startAll()
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "now") == 0 {
					drop(p.close())
				}
			},
			"": func(t *rapid.T) {
				if len(active) > 0 || p.idle() {
					return
				}
				due, _ := p.next()
				require.NotNil(t, due, "requests are pending, but none runs and no response is due")
			},
		})
	})
}

// Guards against an exchange that is accounted for twice or not at all.
func TestExchangeIsReleasedOnce(t *testing.T) {
	request := &nopRequest{}
	e := &exchange{request: request}
	e.release(nil)
	e.release(nil)
	require.Equal(t, 1, request.releases)
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["spoiled-head"] = playSpoiledHead }

const (
	// spoiledOneIn is the part of the answers of one target that is spoiled.
	spoiledOneIn = 50
	// spoiledTime is how long clients send requests.
	spoiledTime = 20 * time.Second
	rotaBody    = "entered"
)

// playSpoiledHead lets a faulty target put a space before the colon of the header line
// that frames its body, in a few of its answers.
func playSpoiledHead(f *fleet, trouble bool) (verdict, error) {
	done := make(chan struct{})
	defer close(done)
	if err := startRota(f, done, "hki", "tku"); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	answers, broken := 0, 0
	if trouble {
		f.machines[1].target.setRaw(func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			answers++
			if answers%spoiledOneIn != 0 {
				return ""
			}
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s\r\nConnection: close\r\n", id, id)
			if answers%(2*spoiledOneIn) != 0 {
				f.history.printf("the target spoils the answer to %s: a space before the colon of Transfer-Encoding", id)
				return head + "Transfer-Encoding : chunked\r\n\r\n7\r\nentered\r\n0\r\n\r\n"
			}
			f.history.printf("the target spoils the answer to %s: a space before the colon of Content-Length, and 4 of 7 bytes", id)
			return head + "Content-Length : 7\r\n\r\nente"
		})
	}
	stop := f.loadChecked("POST", "/entry/a", func(a answer) {
		if a.status/100 != 2 || !a.whole || a.body == rotaBody {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		broken++
		f.history.printf("a client gets status %d and %q as a complete answer to %s", a.status, a.body, a.id)
	})
	time.Sleep(spoiledTime)
	f.history.printf("answers by status: %v", stop())
	mu.Lock()
	defer mu.Unlock()
	f.history.printf("%d complete successes had a body that is not the whole body of the target", broken)
	return verdict{broken: broken > 0, text: "MIXED: a client gets a success with a body that is not the whole body of the target"}, nil
}

package main

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["longer-grace"] = playLongerGrace }

const (
	// longGrace is the grace period after the change of the settings.
	longGrace = 10 * time.Second
	// longWork is how long a request takes at a slow target.
	longWork = 4 * time.Second
)

// playLongerGrace makes the grace period longer, tells the nodes of the change and stops one
// of them.
func playLongerGrace(f *fleet, trouble bool) (verdict, error) {
	done := make(chan struct{})
	defer close(done)
	f.longGrace = !trouble
	if err := startRota(f, done, "hki", "tku"); err != nil {
		return verdict{}, err
	}
	if trouble {
		for _, m := range f.machines {
			text, err := os.ReadFile(m.settingsPath())
			if err != nil {
				return verdict{}, err
			}
			changed := strings.ReplaceAll(string(text), "grace_period=6s", "grace_period=10s")
			if err := os.WriteFile(m.settingsPath(), []byte(changed), 0o600); err != nil {
				return verdict{}, err
			}
			m.signal(syscall.SIGHUP)
			f.history.printf("%s: the settings say grace_period=10s, SIGHUP", m.name)
		}
	}
	time.Sleep(contact + heartbeat)
	// The target of the other machine runs the requests; its work has become long.
	for _, m := range f.machines {
		m.target.setWork(longWork)
	}
	m := f.machines[0]
	m.signal(syscall.SIGTERM)
	stopped := time.Now()
	f.history.printf("%s: SIGTERM", m.name)
	var clients sync.WaitGroup
	var mu sync.Mutex
	cut, whole := 0, 0
	for i := range 8 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			sent := time.Now()
			a := m.request("POST", "/entry/a", 5*time.Second, "lawn")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200 && a.whole:
				whole++
			case a.status == 0:
				f.history.printf("a request sent %.3f s after SIGTERM was cut %.3f s after SIGTERM", sent.Sub(stopped).Seconds(), time.Since(stopped).Seconds())
				if time.Since(stopped) < longGrace*5/6 && time.Since(sent) < 5*time.Second && f.ran(a.id) {
					cut++
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Until(stopped.Add(longGrace)))
	m.kill()
	f.history.printf("%d requests were answered, %d that a target had begun were cut", whole, cut)
	return verdict{broken: cut > 0, text: "LOST: requests that were passed on to a target are cut without an answer in a planned stop"}, nil
}

// ran reports whether a target has begun to work on a request.
func (f *fleet) ran(id string) bool {
	for _, m := range f.machines {
		for _, r := range m.target.runsAfter(time.Time{}) {
			if r.id == id {
				return true
			}
		}
	}
	return false
}

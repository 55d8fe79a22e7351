package main

import (
	"time"
)

func init() { cases["first-return"] = playFirstReturn }

const (
	// oldConfig sends requests to one service, and newConfig to another one.
	oldConfig = `{"version":"%08x","resources":[
{"type":"routes","metadata":{"name":"r-entry"},"spec":{"hostname":"club.example","path_prefix":"/entry/","kind":"unsafe","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"rota","attempts":2}},
{"type":"services","metadata":{"name":"rota"},"spec":{"health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}},
{"type":"services","metadata":{"name":"annex"},"spec":{"health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`
	newConfig = `{"version":"%08x","resources":[
{"type":"routes","metadata":{"name":"r-entry"},"spec":{"hostname":"club.example","path_prefix":"/entry/","kind":"unsafe","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"annex","attempts":2}},
{"type":"services","metadata":{"name":"rota"},"spec":{"health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}},
{"type":"services","metadata":{"name":"annex"},"spec":{"health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`
	// storeAnswer is how long a call of the operator takes.
	storeAnswer = 4 * time.Millisecond
	// awayTime is how long the store is away.
	awayTime = 1540 * time.Millisecond
	// watchTime is how long the case watches where requests run.
	watchTime = 20 * time.Second
)

// playFirstReturn lets the store return from a copy for the first time, and the operator
// change a route after that.
func playFirstReturn(f *fleet, trouble bool) (verdict, error) {
	f.store.setEra(firstEra())
	f.putConfig(1, oldConfig)
	done := make(chan struct{})
	defer close(done)
	for _, place := range []struct{ zone, service string }{{"hki", "rota"}, {"tku", "rota"}, {"hki", "annex"}, {"tku", "annex"}} {
		m, err := f.addMachine(place.zone, place.service)
		if err != nil {
			return verdict{}, err
		}
		t, err := m.startTarget("i-"+m.name, 20*time.Millisecond, func(string) string { return "entered" })
		if err != nil {
			return verdict{}, err
		}
		go t.beatUntil(done)
		if err := m.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(contact + 2*heartbeat)
	saved := f.store.copy()
	f.history.printf("a copy of the store is made")
	f.putConfig(2, oldConfig)
	time.Sleep(1500 * time.Millisecond)
	f.putConfig(3, oldConfig)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		f.store.stop()
		f.history.printf("the store is away")
		time.Sleep(awayTime)
		f.store.returnFrom(saved)
		if err := f.store.start(); err != nil {
			return verdict{}, err
		}
		f.history.printf("the store is back, era %d", f.store.currentEra())
		// The operator has waited for the store. It writes what is gone again, and the next
		// change behind it, with one call.
		time.Sleep(storeAnswer)
		f.putConfigs(3, oldConfig, newConfig)
	} else {
		f.putConfig(4, newConfig)
	}
	acked := time.Now()
	stop := f.load("POST", "/entry/a")
	time.Sleep(watchTime)
	answers := stop()
	// Machines are in touch once the store has been without disruption for contact.
	binding := acked.Add(max(configApply, contact) + time.Second)
	late, right := 0, 0
	for _, m := range f.machines {
		n := len(m.target.runsAfter(binding))
		if m.service == "rota" {
			late += n
		} else {
			right += n
		}
	}
	f.history.printf("answers by status: %v", answers)
	f.history.printf("requests sent later than %v after the acknowledgement of 00000004: %d were run by the old service, %d by the new one", binding.Sub(acked), late, right)
	return verdict{broken: late > 0, text: "CONFIG: requests are run by the old service later than config_apply after the acknowledgement of a version"}, nil
}

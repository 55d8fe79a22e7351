package route

import "time"

const (
	// localRoom is the occupancy below which a target of the own zone is taken
	// without a look at the other zones. Above it, requests soon queue.
	localOccupancyLimit = 0.9
	// zoneSurcharge is the occupancy that a target of another zone must be below
	// one of the own zone to be preferred to it, since bytes between zones are
	// paid for.
	zoneSurcharge = 0.1
	// nearSamples is the number of targets of other zones that are compared.
	otherZoneSamples = 3
	// maxReported is the largest reported occupancy in thousandths; above 1000
	// requests queue.
	maxReportedLoad = 8000
	// reportMemory is the age at which a reported occupancy counts half. It is
	// several times the usual time between answers of a target in use.
	reportHalfAge = 200 * time.Millisecond
)

// nearestRoom takes the target with the most room in the own zone, and goes to
// other zones only when the own one is full. Gates report their occupancy with
// each answer, so new targets need no ramp: a cold one shows its occupancy.
func (s *service) nearestCapacity(v *view, q query) *Endpoint {
	var best candidate
	start := q.draw.intN(max(len(v.own), 1))
	for i := range v.own {
		e := v.own[(start+i)%len(v.own)]
		switch q.fit(e) {
		case fitTrial:
			return e
		case fitYes:
			best.offer(e, e.occupancy(q.at))
		}
	}
	if best.endpoint != nil && best.cost < localOccupancyLimit {
		return best.endpoint
	}
	if trial := q.sampleOtherZones(&best, v.near); trial != nil {
		return trial
	}
	if best.endpoint != nil {
		return best.endpoint
	}
	return s.scan(v, q)
}

// sampleRoom offers some targets of other zones.
func (q *query) sampleOtherZones(best *candidate, pool []*Endpoint) *Endpoint {
	if len(pool) == 0 {
		return nil
	}
	start := q.draw.intN(len(pool))
	for i := range min(otherZoneSamples, len(pool)) {
		e := pool[(start+i)%len(pool)]
		switch q.fit(e) {
		case fitTrial:
			return e
		case fitYes:
			best.offer(e, e.occupancy(q.at)+zoneSurcharge)
		}
	}
	return nil
}

// occupancy estimates the requests at the target and in its queue per slot. The
// own calls in flight are a lower bound of what the gate reported; failures and
// refusals count as if they took room.
func (e *Endpoint) occupancy(at int64) float64 {
	reported, share := e.hint.load()
	age := max(at-reported, 0)
	fresh := float64(reportHalfAge) / float64(int64(reportHalfAge)+age)
	occupied := max(fresh*float64(share)/1000, float64(e.inFlight.Load())/e.slots)
	outcomes := e.freshness(at, costHalfAge)
	good := max((1-outcomes*e.failed.load())*(1-outcomes*e.refused.load()), minGoodShare)
	return (occupied + 1/e.slots) / (good * good)
}

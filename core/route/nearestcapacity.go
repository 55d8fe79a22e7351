package route

import "time"

const (
	// localOccupancyLimit is the occupancy below which a target of the node's
	// own zone is chosen without considering other zones. Above it, requests
	// are likely to queue.
	localOccupancyLimit = 0.9
	// zoneSurcharge is added to the occupancy of targets in other zones, so
	// that one of them is chosen only if its occupancy is lower by more than
	// this value. Traffic between zones costs money.
	zoneSurcharge = 0.1
	// otherZoneSamples is the number of targets of other zones that are
	// compared.
	otherZoneSamples = 3
	// maxReportedLoad is the maximum reported occupancy, in thousandths of the
	// limit. Above 1000, requests queue.
	maxReportedLoad = 8000
	// reportHalfAge is the age at which a reported occupancy has half its
	// weight. It is several times the usual time between responses of a target
	// in use.
	reportHalfAge = 200 * time.Millisecond
)

// nearestCapacity chooses the target of the node's own zone with the most free
// capacity, and considers other zones only when that zone is nearly full. Gates
// report their occupancy with each response, so new targets need no ramp: the
// occupancy of one that is still warming up rises with the first calls.
func (s *service) nearestCapacity(v *view, q query) *Endpoint {
	var best candidate
	start := q.draw.intN(max(len(v.ownZone), 1))
	for i := range v.ownZone {
		e := v.ownZone[(start+i)%len(v.ownZone)]
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
	if trial := q.sampleOtherZones(&best, v.otherZones); trial != nil {
		return trial
	}
	if best.endpoint != nil {
		return best.endpoint
	}
	return s.scan(v, q)
}

// sampleOtherZones offers some targets of other zones to best. If it claims the
// trial call of one, it returns that target immediately.
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

// occupancy estimates the requests at the target and in its queue per slot,
// including one more call. The calls in flight from this node are a lower
// bound. Failures and refusals raise the result as if they occupied slots.
func (e *Endpoint) occupancy(at int64) float64 {
	reported, share := e.hint.load()
	age := max(at-reported, 0)
	fresh := float64(reportHalfAge) / float64(int64(reportHalfAge)+age)
	occupied := max(fresh*float64(share)/1000, float64(e.inFlight.Load())/e.slots)
	outcomes := e.freshness(at, costHalfAge)
	good := max((1-outcomes*e.failed.load())*(1-outcomes*e.refused.load()), minGoodShare)
	return (occupied + 1/e.slots) / (good * good)
}

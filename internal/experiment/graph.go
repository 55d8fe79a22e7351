package experiment

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// operation is one operation of a service: its own work and the calls that it
// makes one after the other in the middle of the work.
type operation struct {
	name    string
	service int
	number  uint32
	work    time.Duration
	calls   []*operation
}

// serviceSpec describes the targets of one service.
type serviceSpec struct {
	name        string
	targets     int
	slots       int
	connections int
}

// rootSpec is one kind of root request and its share of the arrivals.
type rootSpec struct {
	class outcome.Class
	share float64
	op    *operation
}

// graph is the call graph of one user.
type graph struct {
	name     string
	zones    int
	client   time.Duration // one way between caller and entry
	hop      time.Duration // one way between nodes
	services []serviceSpec
	roots    []rootSpec
	// deep is the service at the bottom of the longest chain.
	deep int
}

// graphs returns the call graphs in the sizes of section 1.3 of the design.
func graphs() []graph {
	return []graph{rota(), wholesaler()}
}

// rota is Kenttävuoro: calendar views reach lawn availability through the rota;
// bookings cross all services.
func rota() graph {
	const (
		calendar = iota
		dues
		rota
		lawn
	)
	lawnView := &operation{name: "lawn view", service: lawn, number: 0, work: 10 * time.Millisecond}
	lawnClaim := &operation{name: "lawn claim", service: lawn, number: 1, work: 12 * time.Millisecond}
	charge := &operation{name: "fee charge", service: dues, number: 0, work: 15 * time.Millisecond}
	day := &operation{name: "rota day", service: rota, number: 0, work: 8 * time.Millisecond, calls: []*operation{lawnView}}
	enter := &operation{name: "rota entry", service: rota, number: 1, work: 15 * time.Millisecond, calls: []*operation{lawnClaim, charge}}
	view := &operation{name: "calendar view", service: calendar, number: 0, work: 15 * time.Millisecond, calls: []*operation{day}}
	book := &operation{name: "booking", service: calendar, number: 1, work: 10 * time.Millisecond, calls: []*operation{enter}}
	balance := &operation{name: "dues balance", service: dues, number: 1, work: 10 * time.Millisecond}
	return graph{
		name: "rota", zones: 4, client: 8 * time.Millisecond, hop: time.Millisecond,
		services: []serviceSpec{
			{"season calendar", 5, 130, 900},
			{"dues", 4, 160, 1100},
			{"rota", 4, 160, 1100},
			{"lawn availability", 4, 20, 230},
		},
		roots: []rootSpec{
			{outcome.Sheddable, 0.82, view},
			{outcome.Critical, 0.06, book},
			{outcome.Normal, 0.06, day},
			{outcome.Normal, 0.06, balance},
		},
		deep: lawn,
	}
}

// wholesaler is Sarr & Fils: stock checks read the price list; orders cross all
// services.
func wholesaler() graph {
	const (
		stock = iota
		orders
		credit
		price
	)
	quote := &operation{name: "price quote", service: price, number: 0, work: 20 * time.Millisecond}
	check := &operation{name: "stock check", service: stock, number: 0, work: 12 * time.Millisecond, calls: []*operation{quote}}
	reserve := &operation{name: "stock reserve", service: stock, number: 1, work: 15 * time.Millisecond, calls: []*operation{quote}}
	debit := &operation{name: "credit debit", service: credit, number: 0, work: 20 * time.Millisecond}
	limit := &operation{name: "credit limit", service: credit, number: 1, work: 8 * time.Millisecond}
	order := &operation{name: "order", service: orders, number: 0, work: 25 * time.Millisecond, calls: []*operation{reserve, debit}}
	return graph{
		name: "wholesaler", zones: 3, client: 3 * time.Millisecond, hop: time.Millisecond,
		services: []serviceSpec{
			{"stock", 5, 200, 1300},
			{"orders", 4, 260, 1600},
			{"credit ledger", 3, 340, 2200},
			{"price list", 3, 50, 400},
		},
		roots: []rootSpec{
			{outcome.Sheddable, 0.75, check},
			{outcome.Critical, 0.06, order},
			{outcome.Normal, 0.09, check},
			{outcome.Normal, 0.10, limit},
		},
		deep: price,
	}
}

package experiment

import (
	"time"

	"github.com/primrosemount/primrosemount/core/outcome"
)

// operation is one operation of a service: its self time and the calls that it makes one
// after the other between the two halves of the work.
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

// rootSpec is one kind of root request with its share of all arrivals.
type rootSpec struct {
	class outcome.Class
	share float64
	op    *operation
}

// graph is the call graph of one user.
type graph struct {
	name        string
	zones       int
	clientDelay time.Duration // one way between caller and entry node
	hopDelay    time.Duration // one way between nodes
	services    []serviceSpec
	roots       []rootSpec
	// deepest is the index of the service at the end of the longest chain of calls.
	deepest int
}

// graphs returns the call graphs of the users. rota and wholesaler have the sizes of
// section 1.3 of the design. rotaMesh and wholesalerMesh have those of the users'
// platform, where one root request makes many calls to the deepest service.
func graphs() []graph {
	return []graph{rota(), wholesaler(), rotaMesh(), wholesalerMesh()}
}

// repeatCall returns n calls of op.
func repeatCall(n int, op *operation) []*operation {
	calls := make([]*operation, n)
	for i := range calls {
		calls[i] = op
	}
	return calls
}

// rotaMesh is the call graph of Kenttävuoro on the users' platform: a calendar view
// makes four calls to the deepest service, a fee makes eight.
func rotaMesh() graph {
	const (
		season = iota
		dues
		rota
		lawns
	)
	weather := &operation{name: "weather", service: lawns, number: 0, work: 22 * time.Millisecond}
	slots := &operation{name: "slots", service: lawns, number: 1, work: 36 * time.Millisecond}
	handicap := &operation{name: "handicap", service: rota, number: 0, work: 15 * time.Millisecond, calls: repeatCall(4, weather)}
	booking := &operation{name: "booking", service: rota, number: 1, work: 63 * time.Millisecond}
	ledger := &operation{name: "ledger", service: dues, number: 0, work: 15 * time.Millisecond, calls: repeatCall(1, handicap)}
	fee := &operation{name: "fee", service: dues, number: 1, work: 120 * time.Millisecond, calls: repeatCall(2, handicap)}
	calendar := &operation{name: "calendar", service: season, number: 0, work: 90 * time.Millisecond, calls: repeatCall(1, ledger)}
	return graph{
		name: "rota-mesh", zones: 4, clientDelay: 8 * time.Millisecond, hopDelay: time.Millisecond,
		services: []serviceSpec{
			{"season", 5, 150, 1000},
			{"dues", 4, 188, 1228},
			{"rota", 4, 188, 1228},
			{"lawns", 4, 24, 256},
		},
		roots: []rootSpec{
			{outcome.Sheddable, 0.49, calendar},
			{outcome.Critical, 0.20, fee},
			{outcome.Critical, 0.14, booking},
			{outcome.Normal, 0.17, slots},
		},
		deepest: lawns,
	}
}

// wholesalerMesh is the call graph of Sarr & Fils on the users' platform: a stock check
// and an order make ten calls each to the deepest service.
func wholesalerMesh() graph {
	const (
		stockview = iota
		orderdesk
		creditbook
		pricelist
	)
	tariff := &operation{name: "tariff", service: pricelist, number: 0, work: 22 * time.Millisecond}
	price := &operation{name: "price", service: pricelist, number: 1, work: 35 * time.Millisecond}
	limit := &operation{name: "limit", service: creditbook, number: 0, work: 15 * time.Millisecond, calls: repeatCall(5, tariff)}
	debit := &operation{name: "debit", service: creditbook, number: 1, work: 62 * time.Millisecond}
	slot := &operation{name: "slot", service: orderdesk, number: 0, work: 15 * time.Millisecond, calls: repeatCall(1, limit)}
	order := &operation{name: "order", service: orderdesk, number: 1, work: 120 * time.Millisecond, calls: repeatCall(2, limit)}
	check := &operation{name: "check", service: stockview, number: 0, work: 89 * time.Millisecond, calls: repeatCall(2, slot)}
	return graph{
		name: "wholesaler-mesh", zones: 3, clientDelay: 3 * time.Millisecond, hopDelay: time.Millisecond,
		services: []serviceSpec{
			{"stockview", 5, 205, 1330},
			{"orderdesk", 4, 257, 1642},
			{"creditbook", 3, 342, 2152},
			{"pricelist", 3, 53, 442},
		},
		roots: []rootSpec{
			{outcome.Sheddable, 0.48, check},
			{outcome.Critical, 0.23, order},
			{outcome.Critical, 0.14, debit},
			{outcome.Normal, 0.15, price},
		},
		deepest: pricelist,
	}
}

// rota is the call graph of Kenttävuoro: calendar views reach lawn availability through
// the rota; bookings call all services.
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
		name: "rota", zones: 4, clientDelay: 8 * time.Millisecond, hopDelay: time.Millisecond,
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
		deepest: lawn,
	}
}

// wholesaler is the call graph of Sarr & Fils: stock checks read the price list; orders
// call all services.
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
		name: "wholesaler", zones: 3, clientDelay: 3 * time.Millisecond, hopDelay: time.Millisecond,
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
		deepest: price,
	}
}

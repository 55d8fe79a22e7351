package relay

import (
	"net/http"
	"time"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
	"github.com/primrosemount/primrosemount/core/quota"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// A sender is who sent a request: a client, or the target on behalf of a request that it
// is running.
type sender struct {
	Envelope
	// parent is the running request for which the target makes a call. It is nil for a
	// request of a client.
	parent *callgraph.Parent
	// account is the client account of a request of a client, or nil.
	account *account.Account
}

// senderOf returns the sender of a request, without its account.
func (e *entry) senderOf(envelope Envelope) sender {
	s := sender{Envelope: envelope}
	if parent, ok := e.graph.Find(envelope.AttemptID); ok {
		// Only the copy is allocated, and only for calls.
		found := parent
		s.parent = &found
	}
	return s
}

var (
	// errNoKey is the refusal of a request without a key on a route that needs one.
	errNoKey = outcome.New(outcome.NotRun, outcome.Unauthenticated, "the request has no key of a client account")
	// errUnknownKey is the refusal of a request whose key no account holds.
	errUnknownKey = outcome.New(outcome.NotRun, outcome.Unauthenticated, "the key is not that of a client account")
	// errUnknownParent is the refusal of a call whose parent this node does not know. The
	// key of its root request is unknown, so the call is not known to be unauthorized.
	errUnknownParent = outcome.New(outcome.NotRun, outcome.TargetDown,
		"the request has the id of a call, but its parent is not running here; the node may have been restarted")
)

// authenticate finds the client account of a request of a client by its key. It returns
// the refusal if the route needs a key and there is no valid one. A call belongs to the
// account of its parent, so its key is ignored.
func (s *sender) authenticate(table *ingress.Table, found *ingress.Route) *outcome.Error {
	if table.Accounts == nil || s.parent != nil {
		return nil
	}
	if s.Key != "" {
		s.account = table.Accounts.Find(s.Key)
	}
	switch {
	case s.account != nil || found.Public:
		return nil
	case s.Key != "":
		return errUnknownKey
	case callgraph.IsCallID(s.AttemptID):
		return errUnknownParent
	}
	return errNoKey
}

// accountName returns the name of the client account of the root request, or an empty
// string if it has none.
func (s *sender) accountName() string {
	switch {
	case s.parent != nil:
		return s.parent.Account
	case s.account != nil:
		return s.account.Name
	}
	return ""
}

// recordRejected logs a request that was not accepted, and counts it if it is one of a
// client with a known account.
func (e *entry) recordRejected(r *http.Request, envelope Envelope, refused *outcome.Error) {
	s := e.senderOf(envelope)
	if table := e.config.table.Load(); s.parent == nil && envelope.Key != "" && table != nil && table.Accounts != nil {
		s.account = table.Accounts.Find(envelope.Key)
	}
	if s.account != nil {
		e.use.add(s.account.Name, refused.Outcome, refused.Reason)
	}
	e.events.rejected(r, envelope.AttemptID, s.accountName(), refused, e.config)
}

// classOf returns the class of a request without its least share. The priority of its
// client account, if any, precedes that of the route.
func classOf(found *ingress.Route, client *account.Account) outcome.Class {
	if client != nil && client.HasPriority {
		return ingress.ClassOf(client.Priority)
	}
	return found.Class()
}

// accountQuotas are the quotas of client accounts as the entry uses them; quotaTask
// implements them.
type accountQuotas interface {
	take(now time.Time, a *account.Account) *outcome.Error
	refund(now time.Time, a *account.Account)
	load(now time.Time, a *account.Account) (float64, bool)
	snapshot(now time.Time) []quota.Use
}

// tokenLifetime is how long a token of a quota is valid. A request that has not been sent
// by then, for example because its body arrived slowly, needs a new one, and a token that
// is returned later is void. Otherwise, requests of many earlier seconds could run within
// one window of the quota.
const tokenLifetime = time.Second

// A quotaUse is the use of a client account's quota by one root request. The zero value
// uses none. It is not safe for concurrent use.
type quotaUse struct {
	quotas  accountQuotas
	account *account.Account
	taken   time.Time
}

// takeQuota takes the quota of a root request of a limited account, or returns the
// refusal.
func (e *entry) takeQuota(from *sender, now time.Time) (quotaUse, *outcome.Error) {
	if from.account == nil || !from.account.Limited() {
		return quotaUse{}, nil
	}
	if refused := e.quotas.take(now, from.account); refused != nil {
		return quotaUse{}, refused
	}
	return quotaUse{quotas: e.quotas, account: from.account, taken: now}, nil
}

// refund returns the use of a request that has not run and will not run. It has no
// effect after the first call.
func (u *quotaUse) refund() {
	if now := time.Now(); u.account != nil && !u.expired(now) {
		u.quotas.refund(now, u.account)
	}
	u.account = nil
}

func (u *quotaUse) expired(now time.Time) bool { return now.Sub(u.taken) > tokenLifetime }

// renew takes the quota again if the token has expired, or returns the refusal.
func (u *quotaUse) renew(now time.Time) *outcome.Error {
	if u.account == nil || !u.expired(now) {
		return nil
	}
	client := u.account
	u.account = nil
	if refused := u.quotas.take(now, client); refused != nil {
		return refused
	}
	u.account, u.taken = client, now
	return nil
}

// dispatched moves the use out of a request that is about to be sent. From then on, only
// the response can show that the request has not run.
func (u *quotaUse) dispatched() quotaUse {
	use := *u
	u.account = nil
	return use
}

// settle refunds the use if the response shows that the request has not run.
func (u *quotaUse) settle(response *pb.ForwardResponse) {
	if response.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		u.refund()
	}
}

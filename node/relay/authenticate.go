package relay

import (
	"time"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/callgraph"
	"github.com/primrosemount/primrosemount/core/ingress"
	"github.com/primrosemount/primrosemount/core/outcome"
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
		s.parent = &parent
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

// nameOfAccount returns the name of the client account of a request that was not
// accepted, as far as it is known.
func (e *entry) nameOfAccount(envelope Envelope) string {
	s := e.senderOf(envelope)
	if table := e.config.table.Load(); s.parent == nil && envelope.Key != "" && table != nil && table.Accounts != nil {
		s.account = table.Accounts.Find(envelope.Key)
	}
	return s.accountName()
}

// classOf returns the class of a request without its least share. The priority of its
// client account, if any, precedes that of the route.
func classOf(found *ingress.Route, client *account.Account) outcome.Class {
	if client != nil && client.HasPriority {
		return ingress.ClassOf(client.Priority)
	}
	return found.Class()
}

// A quotaUse is the use of a client account's quota by one root request. The zero value
// uses none. It is not safe for concurrent use.
type quotaUse struct {
	quotas  *quotaTask
	account *account.Account
}

// takeQuota takes the quota of a root request of a limited account, or returns the
// refusal.
func (e *entry) takeQuota(from sender, now time.Time) (quotaUse, *outcome.Error) {
	if from.account == nil || !from.account.Limited() {
		return quotaUse{}, nil
	}
	if refused := e.quotas.take(now, from.account); refused != nil {
		return quotaUse{}, refused
	}
	return quotaUse{quotas: e.quotas, account: from.account}, nil
}

// refund returns the use of a request that has not run and will not run. It has no
// effect after the first call.
func (u *quotaUse) refund() {
	if u.account == nil {
		return
	}
	u.quotas.refund(time.Now(), u.account)
	u.account = nil
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

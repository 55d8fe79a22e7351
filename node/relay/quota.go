package relay

import (
	"time"

	"github.com/primrosemount/primrosemount/core/account"
	"github.com/primrosemount/primrosemount/core/outcome"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// quotaTask keeps the quotas of client accounts: as an owner for other nodes, and for
// the root requests of this entry.
type quotaTask struct{}

func newQuotaTask() *quotaTask { return &quotaTask{} }

// serve handles the exchange of another node with this owner.
func (q *quotaTask) serve(*pb.QuotaRequest, *pb.QuotaResponse) {}

// take uses the quota of an account for one root request. It returns nil if the request
// may run, and otherwise the refusal with its RetryAfter. It never waits.
func (q *quotaTask) take(time.Time, *account.Account) *outcome.Error { return nil }

// refund returns what take used, because the request has not run and will not run.
func (q *quotaTask) refund(time.Time, *account.Account) {}

// load returns the arrivals of an account at all entries divided by its rate, and false
// if they are not known.
func (q *quotaTask) load(time.Time, *account.Account) (float64, bool) { return 0, false }

package telemetry

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// MaxAccounts is the maximum number of client accounts that have a separate label
	// value.
	MaxAccounts = 256
	// OtherAccount is the label value of all further accounts.
	OtherAccount = "other"
)

// An AccountSample is the number of requests of one client account with one result since
// the start.
type AccountSample struct {
	Account string
	// Result is one of a fixed set of names, so that the label is bounded.
	Result string
	Count  uint64
}

// accountLabels assigns label values to accounts.
type accountLabels struct {
	mu    sync.Mutex
	names map[string]bool
}

// label returns the label value of an account: its name, or OtherAccount if MaxAccounts
// other accounts have a label.
func (l *accountLabels) label(account string) string {
	if l.names[account] {
		return account
	}
	if len(l.names) >= MaxAccounts {
		return OtherAccount
	}
	l.names[account] = true
	return account
}

// sums adds up the samples by label values, since a label set is observed only once.
func (l *accountLabels) sums(samples []AccountSample) map[AccountSample]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make(map[AccountSample]uint64, len(samples))
	for _, s := range samples {
		sums[AccountSample{Account: l.label(s.Account), Result: s.Result}] += s.Count
	}
	return sums
}

// ObserveAccounts registers the counter of the requests of client accounts. sample is
// called at each scrape.
func (m *Metrics) ObserveAccounts(sample func() []AccountSample) error {
	labels := &accountLabels{names: make(map[string]bool)}
	_, err := m.meter.Int64ObservableCounter("primrosemount.account.requests",
		metric.WithUnit("{request}"),
		metric.WithDescription("Requests of clients with a client account, by account and result."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for key, count := range labels.sums(sample()) {
				o.Observe(int64(count), metric.WithAttributes(
					attribute.String("account", key.Account), attribute.String("result", key.Result)))
			}
			return nil
		}))
	return err
}

package retry

import "time"

const (
	// minExpected and maxExpected bound the expected length of a shortage. A peak of
	// some 100 ms is over soon after it is noticed. Beyond the upper bound, callers would
	// often come back later than necessary.
	minExpected = 325 * time.Millisecond
	maxExpected = 5 * time.Second
	// minSpread and maxSpread are the bounds of the wait relative to the expected length,
	// so that callers refused at the same time come back at different times.
	minSpread = 0.5
	maxSpread = 1.5
)

// RetryAfter returns the wait to suggest to the caller of a request that was refused
// because of a shortage of the given age. A shortage that has lasted some time is
// expected to last as long again. random is a random number from 0 to 1.
func RetryAfter(age time.Duration, random float64) time.Duration {
	expected := min(max(age, minExpected), maxExpected)
	return time.Duration(float64(expected) * (minSpread + random*(maxSpread-minSpread)))
}

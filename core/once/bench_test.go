package once

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/core/outcome"
)

func BenchmarkBeginFinish(b *testing.B) {
	table := newTable(Config{MaxBytes: 1 << 40})
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = ownKey(testEpoch, uint64(i))
	}
	result := completed("ok")
	b.ReportAllocs()
	b.ResetTimer()
	for _, key := range keys {
		table.Begin(testEpoch, key, fingerprintA, testRetention)
		table.Finish(testEpoch, key, result)
	}
}

// BenchmarkBeginFinishFull measures new keys in a table that is full of
// responses and must evict some for each new key. Calls arrive at a rate of 25
// per second.
func BenchmarkBeginFinishFull(b *testing.B) {
	table := newTable(Config{MaxBytes: pressureTableBytes})
	keys := make([]string, b.N+pressureCalls)
	for i := range keys {
		keys[i] = ownKey(pressureTime(i), uint64(i))
	}
	result := completed(string(make([]byte, pressureResponseBytes)))
	for i, key := range keys {
		if i == pressureCalls {
			b.ReportAllocs()
			b.ResetTimer()
		}
		table.Begin(pressureTime(i), key, fingerprintA, testRetention)
		table.Finish(pressureTime(i), key, result)
	}
	b.ReportMetric(float64(table.Bytes())/(1<<20), "MiB")
}

func BenchmarkReplay(b *testing.B) {
	table := newTable(Config{})
	key := ownKey(testEpoch, 1)
	table.Begin(testEpoch, key, fingerprintA, testRetention)
	table.Finish(testEpoch, key, completed("ok"))
	b.ReportAllocs()
	for b.Loop() {
		table.Begin(testEpoch, key, fingerprintA, testRetention)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf(testService, "place", "clerk", body)
	}
}

// heapBytesPerRecord returns the heap bytes per record that a table with the
// given number of records uses.
func heapBytesPerRecord(records int, result Result) float64 {
	keys := make([]string, records)
	for i := range keys {
		keys[i] = ownKey(testEpoch.Add(time.Duration(i)), uint64(i))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newTable(Config{MaxBytes: 1 << 40})
	for _, key := range keys {
		table.Begin(testEpoch, key, fingerprintA, testRetention)
		table.Finish(testEpoch, key, result)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	runtime.KeepAlive(keys)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(records)
}

// Guards against a memory charge per record that is lower than the heap memory
// that the record uses.
func TestRecordChargeCoversHeapUse(t *testing.T) {
	for _, records := range []int{15_000, 29_000, 30_000, 50_000, 58_000, 100_000} {
		kept := heapBytesPerRecord(records, completed(""))
		refused := heapBytesPerRecord(records, Result{Outcome: outcome.NotRun, Reason: outcome.Overloaded})
		t.Logf("%d records: %.0f bytes per kept record, %.0f per refusal", records, kept, refused)
		require.Less(t, kept, float64(recordBytes))
		require.Less(t, refused, float64(recordBytes))
	}
}

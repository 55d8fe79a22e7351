package node_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	benchCallers    = 4
	maxLatencyNanos = int64(10 * time.Second)
)

// BenchmarkAddedLatency compares a call sent directly to a target with a call
// that passes through two nodes: the node of another service, where it enters,
// and the node of the target. It reports p50 and p99 in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	services := twoTiers(0)
	running := startFleet(b, services)
	entryNode := running.InstancesOf("ledger")[0].Node.CallersAddress()
	orders := running.InstancesOf("orders")
	b.Run("direct", func(b *testing.B) {
		measureLatency(b, "http://"+orders[0].Target.Address()+wire.OperationsPath+"list", nil)
	})
	b.Run("two_nodes_idempotent", func(b *testing.B) {
		measureLatency(b, "http://"+entryNode+wire.ServicesPath+"orders/list", nil)
	})
	b.Run("two_nodes_at_most_once", func(b *testing.B) {
		measureLatency(b, "http://"+entryNode+wire.ServicesPath+"orders/note", nil)
	})
}

func measureLatency(b *testing.B, url string, header map[string]string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	histograms := make([]*hdrhistogram.Histogram, benchCallers)
	var wait sync.WaitGroup
	b.ResetTimer()
	for caller := range benchCallers {
		histograms[caller] = hdrhistogram.New(1, maxLatencyNanos, 3)
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range b.N/benchCallers + 1 {
				histograms[caller].RecordValue(timeCall(b, client, url, header))
			}
		}()
	}
	wait.Wait()
	b.StopTimer()
	for _, other := range histograms[1:] {
		histograms[0].Merge(other)
	}
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50))/1000, "p50-us")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99))/1000, "p99-us")
	client.CloseIdleConnections()
}

func timeCall(b *testing.B, client *http.Client, url string, header map[string]string) int64 {
	body, err := json.Marshal(target.Request{ID: "bench"})
	require.NoError(b, err)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	require.NoError(b, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	start := time.Now()
	response, err := client.Do(request)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
	elapsed := time.Since(start)
	require.Equal(b, http.StatusOK, response.StatusCode)
	return int64(elapsed)
}

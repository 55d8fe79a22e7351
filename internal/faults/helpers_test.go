package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
	"github.com/primrosemount/primrosemount/internal/fleet"
	"github.com/primrosemount/primrosemount/internal/standin/target"
	"github.com/primrosemount/primrosemount/wire"
)

const (
	startTimeout = 20 * time.Second
	// callDeadline is the deadline of the operations.
	callDeadline = 1 * time.Second
	serviceName  = "orders"
	bookName     = "book"
	bookPath     = wire.ServicesPath + serviceName + "/" + bookName
	keysPath     = wire.ServicesPath + serviceName + "/keys"
)

// orders returns a service with one non-idempotent operation and one target in each
// zone.
func orders(work time.Duration, answerBytes int, zones ...string) fleet.Service {
	return fleet.Service{
		Entry: &pb.Entry{
			Service:        serviceName,
			Owner:          fleet.Operator,
			Class:          pb.Class_CLASS_NORMAL,
			Operations:     []*pb.Operation{{Name: bookName, Class: pb.Class_CLASS_CRITICAL}},
			AllowedCallers: []string{"*"},
			Deadline:       durationpb.New(callDeadline),
			Limits:         &pb.Limits{Drain: durationpb.New(10 * time.Second)},
			Retry:          &pb.RetryPolicy{Allowance: 3, EdgeRatio: 1},
		},
		Zones:      zones,
		Slots:      16,
		Operations: []target.Operation{{Name: bookName, Work: work, FillerBytes: answerBytes}},
	}
}

// entries returns a service whose nodes serve as entry nodes for callers of orders.
func entries(zones ...string) fleet.Service {
	return fleet.Service{
		Entry: &pb.Entry{
			Service:        "front",
			Owner:          fleet.Operator,
			Class:          pb.Class_CLASS_NORMAL,
			Operations:     []*pb.Operation{{Name: "view", Idempotent: true}},
			AllowedCallers: []string{"*"},
			Deadline:       durationpb.New(callDeadline),
		},
		Zones:      zones,
		Slots:      4,
		Operations: []target.Operation{{Name: "view"}},
	}
}

func startFleet(t testing.TB, services ...fleet.Service) *fleet.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	running, err := fleet.Start(ctx, fleet.Config{Services: services, Seed: 1, Logger: zap.NewNop()})
	require.NoError(t, err)
	t.Cleanup(running.Close)
	return running
}

// completeResponse is an HTTP response that was received completely.
type completeResponse struct {
	status  int
	header  http.Header
	body    []byte
	problem wire.Problem
}

// post sends a request and reads the response. An error means that no complete
// response was received.
func post(ctx context.Context, client *http.Client, address, path, id, key string) (completeResponse, error) {
	body, err := json.Marshal(target.Request{ID: id})
	if err != nil {
		return completeResponse{}, err
	}
	// With a body of an unknown reader type, net/http cannot replay the request and so
	// does not retry it.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, reader)
	if err != nil {
		return completeResponse{}, err
	}
	request.ContentLength = int64(len(body))
	if key != "" {
		request.Header.Set(wire.IdempotencyKeyHeader, key)
	}
	response, err := client.Do(request)
	if err != nil {
		return completeResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return completeResponse{}, err
	}
	result := completeResponse{status: response.StatusCode, header: response.Header, body: data}
	if response.Header.Get("Content-Type") == wire.ProblemType {
		err = json.Unmarshal(data, &result.problem)
	}
	return result, err
}

// issueKeys requests idempotency keys of the service from an entry node.
func issueKeys(client *http.Client, address string, count int) ([]string, error) {
	got, err := post(context.Background(), client, address, fmt.Sprintf("%s?count=%d", keysPath, count), "", "")
	if err != nil {
		return nil, err
	}
	var decoded struct {
		Keys []string `json:"keys"`
	}
	return decoded.Keys, json.Unmarshal(got.body, &decoded)
}

func execution(id string) target.Execution {
	return target.Execution{Service: serviceName, Operation: bookName, ID: id}
}

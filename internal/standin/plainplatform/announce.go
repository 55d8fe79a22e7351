package plainplatform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// announceTimeout is the timeout of one call of a target to its node.
const announceTimeout = time.Second

// Announcement is the state that a target announces to its node.
type Announcement struct {
	TargetID  string
	Address   string
	Service   string
	Zone      string
	Slots     int
	StartTime time.Time
	Draining  bool
	Sequence  int
}

// Announce sends an announcement to the node at the given address and returns the
// response status. A 2xx status acknowledges the announcement.
func Announce(node string, a Announcement) (int, error) {
	state := "ready"
	if a.Draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		a.Address, a.StartTime.UnixMilli(), a.Service, a.Zone, a.Slots, state, a.Sequence)
	return Post(node, "/v1/Instances.Heartbeat/"+a.TargetID, body)
}

// LeavePath is the path of a leave call, which the ID of the target follows.
const LeavePath = "/v1/Instances.Leave/"

// Leave notifies the node that a target is going out of service and returns the
// response status.
func Leave(node, targetID string) (int, error) {
	return Post(node, LeavePath+targetID, "{}")
}

// Post sends a call of a target to its node and returns the response status.
func Post(node, path, body string) (int, error) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+node+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

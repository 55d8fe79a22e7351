package plainplatform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// announceTimeout bounds one call of a target.
const announceTimeout = time.Second

// Announcement is what a target says about itself.
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

// Announce sends an announcement to the node at the address and returns the status
// of the answer; a 2xx status acknowledges it.
func Announce(node string, a Announcement) (int, error) {
	state := "ready"
	if a.Draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		a.Address, a.StartTime.UnixMilli(), a.Service, a.Zone, a.Slots, state, a.Sequence)
	return Post(node, "/v1/Instances.Heartbeat/"+a.TargetID, body)
}

// Leave tells the node that a target leaves and returns the status of the answer.
func Leave(node, targetID string) (int, error) {
	return Post(node, "/v1/Instances.Leave/"+targetID, "{}")
}

// Post sends any call of a target and returns the status of the answer.
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

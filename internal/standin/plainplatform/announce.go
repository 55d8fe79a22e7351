package plainplatform

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// announceTimeout bounds one call of a target.
const announceTimeout = time.Second

// Announcement is what a target says about itself.
type Announcement struct {
	TargetID string
	Address  string
	Service  string
	Zone     string
	Slots    int
	Born     time.Time
	Draining bool
	Sequence int
}

// Announce sends an announcement to the node at the address; it reports whether
// the node acknowledged it.
func Announce(node string, a Announcement) bool {
	state := "ready"
	if a.Draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		a.Address, a.Born.UnixMilli(), a.Service, a.Zone, a.Slots, state, a.Sequence)
	return post(node, "/v1/Instances.Heartbeat/"+a.TargetID, body)
}

// Leave tells the node that a target leaves; it reports whether the node
// acknowledged it.
func Leave(node, targetID string) bool {
	return post(node, "/v1/Instances.Leave/"+targetID, "{}")
}

func post(node, path, body string) bool {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+node+path, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}

package outcome

import "net/http"

// maxStatus is the largest status of a response. HTTP defines the classes 1xx to 5xx.
const maxStatus = 599

// IsFinalStatus reports whether a target may send the status with its final response.
// Any other status except an interim one makes the response a broken response, and a
// node must not send it to a caller.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// IsInterimStatus reports whether another response follows the one with the status. No
// request asks for another protocol, so status 101 is not among them.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

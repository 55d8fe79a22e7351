package freeport

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// probedAddress names the environment variable with the address that TestReserveInOtherProcess
// tries to reserve.
const probedAddress = "FREEPORT_PROBED_ADDRESS"

// Guards against an address that is given to the tests of two packages, which run in
// separate processes: one of them restarts its process, and the other one listens on the
// address meanwhile.
func TestAddressIsReservedAgainstOtherProcesses(t *testing.T) {
	addresses, err := Addresses(1)
	require.NoError(t, err)
	require.False(t, reserve(addresses[0]), "in the same process")
	require.False(t, reservedByOtherProcess(t, addresses[0]))

	listener, err := net.Listen("tcp", addresses[0])
	require.NoError(t, err, "the reservation must leave the address to the process that the test starts")
	require.NoError(t, listener.Close())
}

// Guards against a reservation that outlives its process, which would use up the ports.
func TestReservationEndsWithItsProcess(t *testing.T) {
	addresses, err := Addresses(1)
	require.NoError(t, err)
	mu.Lock()
	require.NoError(t, reserved[len(reserved)-1].Close())
	reserved = reserved[:len(reserved)-1]
	mu.Unlock()
	require.True(t, reservedByOtherProcess(t, addresses[0]))
	require.True(t, reserve(addresses[0]), "after the end of the other process")
}

// reservedByOtherProcess reports whether another process could reserve an address.
func reservedByOtherProcess(t *testing.T, address string) bool {
	command := exec.Command(os.Args[0], "-test.run=^TestReserveInOtherProcess$", "-test.v")
	command.Env = append(os.Environ(), probedAddress+"="+address)
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
	_, result, found := strings.Cut(string(output), "reserved: ")
	require.True(t, found, string(output))
	could, err := strconv.ParseBool(strings.Fields(result)[0])
	require.NoError(t, err)
	return could
}

// TestReserveInOtherProcess is the part of the tests above that runs in another process.
func TestReserveInOtherProcess(t *testing.T) {
	address, ok := os.LookupEnv(probedAddress)
	if !ok {
		t.Skip("only runs in a process that another test starts")
	}
	t.Logf("reserved: %t", reserve(address))
}

// Guards against addresses that are returned twice.
func TestAddressesAreDistinct(t *testing.T) {
	addresses, err := Addresses(200)
	require.NoError(t, err)
	seen := make(map[string]bool)
	for _, address := range addresses {
		require.False(t, seen[address])
		seen[address] = true
	}
}

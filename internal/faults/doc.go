// Package faults holds the tests of whole fleets over real sockets under seeded
// schedules of faults. It has no code outside its tests.
package faults

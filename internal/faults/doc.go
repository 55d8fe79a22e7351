// Package faults tests complete fleets over real sockets under seeded schedules of
// faults. It contains only tests.
package faults

//go:build race

package frontend_test

// raceSlowdown is by how much the race detector may slow a program down, at most.
const raceSlowdown = 10

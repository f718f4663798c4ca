//go:build !race

package frontend_test

// raceSlowdown is 1 without the race detector.
const raceSlowdown = 1

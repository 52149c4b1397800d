//go:build !race

package peers

// isRaceDetected is set where the race detector makes long simulations ten times slower.
const isRaceDetected = false

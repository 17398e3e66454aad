// Package process holds what every program of the fleet shares: logging,
// the admin endpoint with metrics, signals and graceful HTTP servers.
package process

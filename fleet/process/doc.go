// Package process provides what all programs of the fleet share: logging, the admin endpoint with metrics, signal
// handling and HTTP servers.
package process

// Package gateway serves callers, upstreams and monitors over HTTP. It turns
// requests into the router's events and performs the router's effects.
package gateway

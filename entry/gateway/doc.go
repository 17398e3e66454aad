// Package gateway serves callers, upstreams and monitoring over HTTP. It translates requests into
// events of the router and carries out the router's effects.
package gateway

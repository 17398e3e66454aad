// Package forward passes requests to upstreams over its own HTTP/1.1
// connections. It knows for certain whether a byte of a request was sent,
// never sends a request twice, and reuses a connection only after the whole
// answer was read from it.
package forward

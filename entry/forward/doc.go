// Package forward sends requests to upstreams over HTTP/1.1 connections of its own. It always knows
// whether any byte of a request was sent, never sends a request twice, and reuses a connection only
// after the whole response was read from it.
package forward

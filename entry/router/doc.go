// Package router decides what happens to each request on an entry VM: one
// reducer over all events, whose effects the caller performs.
package router

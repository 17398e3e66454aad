// Package router decides what an entry VM does with each request. It is a
// reducer: Step takes one event and returns the effects that the caller performs.
package router

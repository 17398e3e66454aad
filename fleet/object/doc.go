// Package object identifies the objects that requests refer to, and assigns each object to a region and to an order
// of that region's upstreams. Both are computed by hashing, so that all processes get the same result without
// communication. Its functions have no side effects.
package object

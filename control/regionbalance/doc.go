// Package regionbalance computes region weights: which part of each region's requests is served by which region. A
// region serves its own requests as far as its upstreams have slots for them, and the rest goes to regions with free
// slots. This matters at sites whose upstreams are not in the same regions as their callers. The package does no I/O
// and reads no clock: time comes in as an argument.
package regionbalance

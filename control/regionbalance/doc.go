// Package regionbalance divides each region's requests over the regions that serve them: a region keeps what its
// own upstreams have room for, and the rest goes where room is left. It answers sites whose upstreams are
// not where their callers are. It is pure: time comes in as an argument.
package regionbalance

// Package limit implements a VM's share of a limit that applies to the whole fleet. A share is a token bucket or a
// counter that may be used only until its lease expires.
package limit

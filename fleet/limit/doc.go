// Package limit holds the borrower's side of a limit that the fleet shares: a
// token bucket or a counter that may be used only while its lease lives.
package limit

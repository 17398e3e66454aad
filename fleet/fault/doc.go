// Package fault defines the errors that cross process boundaries, with the
// step and the peer at which they arose and whether the request ran.
package fault

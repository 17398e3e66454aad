// Package relay passes TCP connections on with delay, limited bandwidth, cuts and silence.
package relay

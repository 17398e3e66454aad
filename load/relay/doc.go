// Package relay forwards TCP connections and simulates delay, limited bandwidth, cuts and silent connections.
package relay

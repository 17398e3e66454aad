// Package balancer chooses the upstream for a request: the one that is expected to finish it first, with
// objects kept at the upstreams that handled them before and large bodies kept near. It has no clock and
// no network. It answers days on which warm upstreams alone have room for the load.
package balancer

// Package balancer chooses the upstream that is expected to answer a request first. It sends an object's requests
// to upstreams that handled the object before, whose caches are warm, and keeps large bodies within the failure
// domain. Requests with a cold cache take several times as long, so without this affinity a service that has
// capacity for warm requests only would be overloaded. The package has no clock and no network.
package balancer

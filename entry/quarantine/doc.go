// Package quarantine decides which requests are no longer sent because they crash the upstreams that run them. All VMs
// decide alike from the facts that they share: which requests an upstream had when its process ended, and which of these
// requests were answered since. A quarantined request is tried again by one VM at a time, after growing pauses.
package quarantine

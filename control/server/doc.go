// Package server serves the API of a control member. It answers entry VMs and
// operators from the replicated ledger and, while its member leads, distributes
// the shares of limits among entry VMs and watches upstreams' renewals.
package server

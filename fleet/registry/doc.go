// Package registry is the state that all VMs of a deployment share: the catalog, drained failure domains,
// upstreams and entry VMs. The control group replicates its commands, and entry VMs follow them.
package registry

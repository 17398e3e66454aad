// Package registry implements the state that all VMs of a deployment share: the catalog, drained failure domains,
// upstreams and entry VMs. The control group replicates the commands that change it, and entry VMs apply the same
// commands to their copies.
package registry

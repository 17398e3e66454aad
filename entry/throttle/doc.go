// Package throttle holds the parts of fleet-wide bounds that one entry VM keeps by itself: second sends,
// requests to cold upstreams and workspaces' rates. The parts of all VMs never sum to more than the bound,
// also when a VM is cut off. It has no clock and no network.
package throttle

// Package throttle enforces one entry VM's shares of the limits that hold for the whole fleet: on retries, on requests to
// cold upstreams and on the request rates of workspaces. The shares of all VMs never add up to more than the limit, even
// while a VM is isolated. The package has no clock and no network.
package throttle

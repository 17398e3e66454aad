// Package ratelimit divides the rate limits of workspaces among entry VMs. Each VM gets an allowance per workspace:
// the number of requests that it may admit within any window. The allowances of all VMs never sum to more than the
// workspace's limit, even when VMs are isolated or restart, or when another member becomes the leader. Allowances
// follow demand, so that VMs on slow links can admit nearly all requests without first asking the leader. This
// matters when workspaces use most of their rates through many VMs, each of which sees only a few of the requests.
// The package does no I/O and reads no clock: time comes in as an argument.
package ratelimit

// Package ratelimit lends the rates of workspaces to entry VMs. What a VM is lent is an allowance: how many
// requests of a workspace it may let through within any window. The allowances of all VMs never sum to more than
// the workspace may have, also when VMs are cut off, restart, or another leader takes over. They follow demand,
// so that VMs on slow links decide about nearly all requests without an exchange. The package answers days on which
// workspaces ask for most of their rates through many VMs, each of which sees few of the requests.
// It is pure: time comes in as an argument.
package ratelimit

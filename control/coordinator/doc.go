// Package coordinator implements a member of the control group for deployments whose VMs share one registry. It
// replicates the registry's commands, streams them to entry VMs and accepts upstream announcements and operator
// commands at any member. The leader also computes rate allowances, region weights and object assignments.
package coordinator

// Control runs a member of the control group, which replicates the fleet's
// durable state, or creates a new group.
package main

// Package replica runs one member of the control group. It passes messages, time and completed writes
// to a consensus.Node, performs the Node's effects, and applies committed entries to the state machine.
package replica

// Package consensus replicates a log over the members of the control group with the Raft
// algorithm. A Node does no input or output itself: messages, time and completed writes are
// passed to it as events, and it returns the writes and messages to perform as effects.
package consensus

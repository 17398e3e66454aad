// Package consensus replicates a log over the members of the control group. It is a
// pure reducer: messages, time and synced writes come in as events, and everything to be
// done goes out as effects.
package consensus

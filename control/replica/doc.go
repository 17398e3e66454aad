// Package replica runs one member of the control group: it feeds the consensus
// reducer with messages, time and synced writes, and performs its effects.
package replica

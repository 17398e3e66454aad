// Package nodes simulates the sessions of many entry VMs against a real control group, and measures the CPU time,
// memory, traffic and latency that they cause.
package nodes

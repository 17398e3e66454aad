// Package server is the shell of a control member: it serves entry VMs and
// operators from the replicated ledger, and moves shares while it leads.
package server

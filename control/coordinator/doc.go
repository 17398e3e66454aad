// Package coordinator serves a deployment whose VMs share one register: it replicates the register's commands, feeds
// them to entry VMs, takes announcements and operators' orders at any member, and lends rates while it leads.
package coordinator

// Package session exchanges state with the control group for an entry VM. It finds and follows the
// leader, renews the VM's shares of limits, and transmits claims, upstream announcements and
// monitoring verdicts.
package session

// Package session exchanges state with the control group: it follows the
// leader, renews the shares of this entry VM and carries claims,
// announcements and verdicts.
package session

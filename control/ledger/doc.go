// Package ledger is the state machine of the control group: it derives the
// document, the audit trail, claims, upstreams, verdicts, entry VMs and the
// shares of limits from the log entries alone, without I/O or a clock.
package ledger

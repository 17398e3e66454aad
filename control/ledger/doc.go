// Package ledger is the replicated state of the control group as a pure
// reducer over log entries: the document, the audit trail, claims, upstreams,
// verdicts, entry VMs and the shares of limits.
package ledger

// Package allocator divides each limit into shares for its holders. The plan is a pure function of the document, the
// registered upstreams, the verdicts, the demand and the current shares.
package allocator

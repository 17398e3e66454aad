// Package fault defines the errors that are passed between processes. An error names the step that failed and
// the peer involved, and says whether the request was executed.
package fault

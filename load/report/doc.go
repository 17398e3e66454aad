// Package report computes the figures of a load test from the samples of the callers and the run records
// of the stand-in upstreams.
package report

// Package report turns the samples of a run and the stand-ins' records into figures.
package report

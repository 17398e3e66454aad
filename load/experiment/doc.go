// Package experiment runs load experiments against the fleet or a baseline: it sends traffic, performs events such
// as a drain or a failure, and computes figures.
package experiment

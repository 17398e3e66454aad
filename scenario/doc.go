// Package scenario proves the fleet's guarantees by scripts over real processes.
package scenario

// Package scenario tests the fleet's guarantees with scripts in testdata that run a fleet of real processes,
// inject faults and check the responses and what the upstreams ran. docs/PROOFS.md numbers the guarantees.
package scenario

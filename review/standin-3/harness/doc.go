// Package harness starts the platform's roles as separate processes on loopback addresses, with settings like those of a
// small deployment, beside stand-in endpoints, clients and an operator that behave as the users' pages say.
package harness

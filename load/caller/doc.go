// Package caller sends open-loop traffic of workspaces, with the lookups and retries that a client of cuminfall
// should perform.
package caller

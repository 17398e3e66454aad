// Package protocol defines the JSON messages between entry VMs and control members, and the client and the handlers
// that exchange them over HTTP. With these messages entry VMs follow the registry's commands, report demand and
// usage, and get allowances of the workspaces' rates.
package protocol

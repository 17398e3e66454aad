// Package protocol holds the messages between entry VMs and control members: the followed commands of the
// register, and the lending of workspaces' rates.
package protocol

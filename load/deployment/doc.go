// Package deployment holds the two deployments as stand-ins: places, services, workspaces and traffic.
package deployment

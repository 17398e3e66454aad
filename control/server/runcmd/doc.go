// Package runcmd implements the command "control run", which runs one member of the control group.
package runcmd

// Package runcmd is the command `control run`: it runs one member of the control group.
package runcmd

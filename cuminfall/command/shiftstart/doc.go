// Package shiftstart implements the command "shift start".
package shiftstart

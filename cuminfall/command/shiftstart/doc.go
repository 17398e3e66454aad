// Package shiftstart implements "shift start".
package shiftstart

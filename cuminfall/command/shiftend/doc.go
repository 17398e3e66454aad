// Package shiftend implements the command "shift end".
package shiftend

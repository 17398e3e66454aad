// Package shiftend implements "shift end".
package shiftend

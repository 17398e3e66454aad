// Package shiftlist implements "shift list".
package shiftlist

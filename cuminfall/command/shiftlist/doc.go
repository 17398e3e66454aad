// Package shiftlist implements the command "shift list".
package shiftlist

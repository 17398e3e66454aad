// Package drainlist implements the command "drain list".
package drainlist

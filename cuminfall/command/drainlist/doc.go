// Package drainlist implements "drain list".
package drainlist

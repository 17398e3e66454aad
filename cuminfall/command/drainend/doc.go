// Package drainend implements the command "drain end".
package drainend

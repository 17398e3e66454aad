// Package drainend implements "drain end".
package drainend

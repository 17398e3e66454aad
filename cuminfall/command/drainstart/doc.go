// Package drainstart implements "drain start".
package drainstart

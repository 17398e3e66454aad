// Package drainstart implements the command "drain start".
package drainstart

// Package root selects the command that the arguments name and runs it.
package root

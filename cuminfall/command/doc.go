// Package command holds what the commands share: their dependencies, their
// common flags and the parsing of arguments.
package command

// Package command holds what all commands of the command line share: their dependencies,
// their common flags and the parsing of arguments.
package command

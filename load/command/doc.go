// Package command holds what the commands of load share: flags, streams and exit codes.
package command

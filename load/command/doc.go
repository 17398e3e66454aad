// Package command provides what all load commands share: dispatch, flags, output streams and exit codes.
package command

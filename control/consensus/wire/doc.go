// Package wire holds the messages between members of the control group.
package wire

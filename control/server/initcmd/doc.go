// Package initcmd is the command `control init`: it writes the first member
// of a new control group with the owners section into an empty data folder.
package initcmd

// Package initcmd implements the command "control init", which creates the data
// folder of the first member of a new control group, with its owners section.
package initcmd

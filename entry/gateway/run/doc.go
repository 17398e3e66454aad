// Package run implements the command "entry run", which serves as an entry VM until it is stopped.
package run

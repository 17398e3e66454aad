// Package run is the command "entry run", which serves as an entry VM until it is told to stop.
package run

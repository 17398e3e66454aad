// Package settings loads a process's TOML settings file and reports all faults in it at once.
package settings

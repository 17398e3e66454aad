// Package settings loads the TOML settings file of a process and reports all errors in it together.
package settings

// Package workspacelist implements the command "workspace list".
package workspacelist

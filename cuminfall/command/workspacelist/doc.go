// Package workspacelist implements "workspace list".
package workspacelist

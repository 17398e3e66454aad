// Package workspaceset implements the command "workspace set".
package workspaceset

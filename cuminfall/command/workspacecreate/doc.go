// Package workspacecreate implements the command "workspace create".
package workspacecreate

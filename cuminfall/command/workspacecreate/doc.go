// Package workspacecreate implements "workspace create".
package workspacecreate

// Package caller sends open-loop traffic of workspaces the way a careful client of cuminfall does.
package caller

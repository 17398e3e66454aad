// Package workspaceset implements "workspace set".
package workspaceset

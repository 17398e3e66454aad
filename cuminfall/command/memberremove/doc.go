// Package memberremove implements the command "member remove".
package memberremove

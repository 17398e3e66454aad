// Package memberremove implements "member remove".
package memberremove

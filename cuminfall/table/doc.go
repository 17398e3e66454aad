// Package table prints lists for people and JSON for scripts.
package table

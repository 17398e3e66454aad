// Package table prints aligned tables for people and JSON for scripts.
package table

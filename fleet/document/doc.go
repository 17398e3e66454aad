// Package document defines the configuration document that operators edit: its sections, their encoding as TOML and
// the checks that a document must pass to be accepted.
package document

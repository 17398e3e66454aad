// Package document defines the operators' document: its sections, their TOML
// form and the checks that an accepted document has passed.
package document

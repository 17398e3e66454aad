// Package ident defines the types of ids and units that all programs share.
package ident

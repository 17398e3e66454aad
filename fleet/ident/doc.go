// Package ident names the ids and units that all programs share.
package ident

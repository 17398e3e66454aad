// Package keyrestore implements the command "key restore".
package keyrestore

// Package keyrestore implements "key restore".
package keyrestore

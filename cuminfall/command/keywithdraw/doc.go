// Package keywithdraw implements "key withdraw".
package keywithdraw

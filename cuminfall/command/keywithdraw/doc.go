// Package keywithdraw implements the command "key withdraw".
package keywithdraw

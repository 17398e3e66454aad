// Package documentshow implements the command "document show".
package documentshow

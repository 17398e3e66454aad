// Package documentshow implements "document show".
package documentshow

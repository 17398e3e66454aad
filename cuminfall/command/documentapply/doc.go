// Package documentapply implements the command "document apply".
package documentapply

// Package documentapply implements "document apply".
package documentapply

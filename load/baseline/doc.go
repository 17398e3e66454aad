// Package baseline routes requests in simple ways, for comparison in tests and reports only.
package baseline

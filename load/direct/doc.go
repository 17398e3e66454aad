// Package direct compares the path through an entry VM with calling stand-ins straight, and measures throughput.
package direct

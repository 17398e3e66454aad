// Package direct measures the latency that an entry VM adds to direct calls of stand-in endpoints, and its throughput.
package direct

// Package verdictlist implements "verdict list".
package verdictlist

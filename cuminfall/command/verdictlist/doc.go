// Package verdictlist implements the command "verdict list".
package verdictlist

// Package servicelist implements "service list".
package servicelist

// Package servicelist implements the command "service list".
package servicelist

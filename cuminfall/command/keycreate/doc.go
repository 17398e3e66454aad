// Package keycreate implements the command "key create".
package keycreate

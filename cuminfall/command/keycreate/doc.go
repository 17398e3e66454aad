// Package keycreate implements "key create".
package keycreate

// Package listener accepts the connections of HTTP clients and closes them without dropping a request: those that are idle,
// and in a graceful shutdown all of them.
package listener

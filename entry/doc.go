// Entry answers look-ups and passes callers' requests to upstreams.
package main

// Command entry runs an entry VM. It answers lookups and forwards callers' requests to upstreams.
package main

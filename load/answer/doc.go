// Package answer defines the response body of stand-in upstreams, which identifies the request that was executed.
package answer

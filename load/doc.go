// Load simulates upstreams and callers, and measures the fleet under load.
package main

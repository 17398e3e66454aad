// Package shutdown decides which requests a VM accepts during its graceful shutdown, and when those that are still
// running get a final answer. The package has no clock and no network.
package shutdown

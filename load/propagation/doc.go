// Package propagation measures the time until a change of the document is in force on all entry VMs. The changes
// grant and withdraw a workspace key.
package propagation

// Package inforce measures the time until a change of the document is in force on all entry VMs.
package inforce

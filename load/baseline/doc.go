// Package baseline implements simple routing strategies that tests and reports compare the entry VMs with.
package baseline

// Package upstream runs stand-in service endpoints that simulate slots, service times, announcements and faults.
package upstream

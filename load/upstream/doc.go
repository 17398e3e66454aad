// Package upstream runs stand-in endpoints of services: slots, service times, announcements and faults.
package upstream

// Package clock provides time as an interface, so that tests can replace the system clock by a fake one.
package clock

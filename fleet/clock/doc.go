// Package clock provides time as an interface, so that code under test runs on a fake.
package clock

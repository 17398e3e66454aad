package main

import (
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
)

// Guards against leases and a configuration that do not age while the VM is suspended.
func TestEntryRunsOnClockThatCountsSuspensions(t *testing.T) {
	is.New(t).Equal(options().Clock, clock.BootTime{})
}

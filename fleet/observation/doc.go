// Package observation makes what one entry VM learned from its traffic known to all entry VMs. VMs report facts to the
// leader of the control group with their periodic reports. The leader keeps all of them until they expire, and adds to
// its reply to each VM those which that VM lacks. A new leader gets them back from the VMs.
package observation

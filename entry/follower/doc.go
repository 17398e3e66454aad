// Package follower keeps an entry VM's copy of the registry up to date from the first control member that answers and
// has contact with a majority of its group, and reports the VM's demand to the group's leader.
package follower

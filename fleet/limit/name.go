package limit

import (
	"strings"

	"cuminfall.example/fleet/ident"
)

// Kind is the first part of a limit's id and says what is limited.
type Kind string

// Kinds of limits; Workspace, Link and Shift are flows, the others counts.
const (
	Workspace   Kind = "workspace"   // requests per second and burst
	Slots       Kind = "slots"       // requests at an upstream at the same time
	Connections Kind = "connections" // connections to an upstream
	Region      Kind = "region"      // requests in a region at the same time
	Link        Kind = "link"        // bytes per second from region to region
	Shift       Kind = "shift"       // moved requests per second
)

// OfWorkspace returns the id of a workspace's rate and burst.
func OfWorkspace(w ident.Workspace) ident.Limit { return join(Workspace, string(w)) }

// OfSlots returns the id of the slots of an upstream.
func OfSlots(a ident.Address) ident.Limit { return join(Slots, string(a)) }

// OfConnections returns the id of the connections of an upstream.
func OfConnections(a ident.Address) ident.Limit { return join(Connections, string(a)) }

// OfRegion returns the id of a region's capacity.
func OfRegion(r ident.Region) ident.Limit { return join(Region, string(r)) }

// OfLink returns the id of the bytes from one region to another.
func OfLink(from, to ident.Region) ident.Limit { return join(Link, string(from)+">"+string(to)) }

// OfShift returns the id of a shift's cap.
func OfShift(name string) ident.Limit { return join(Shift, name) }

func join(k Kind, name string) ident.Limit { return ident.Limit(string(k) + "/" + name) }

// Split returns the kind and the name within an id.
func Split(id ident.Limit) (Kind, string) {
	k, name, _ := strings.Cut(string(id), "/")
	return Kind(k), name
}

// IsRate reports whether the kind is a rate with a burst rather than a count.
func (k Kind) IsRate() bool { return k == Workspace || k == Link || k == Shift }

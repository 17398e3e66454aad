package limit

import (
	"strings"

	"cuminfall.example/fleet/ident"
)

// Kind is the first part of a limit's id and identifies the limited quantity.
type Kind string

// Kinds of limits. Workspace, Link and Shift are rates; the others limit units in use at the same time.
const (
	Workspace   Kind = "workspace"   // requests per second and burst
	Slots       Kind = "slots"       // concurrent requests at an upstream
	Connections Kind = "connections" // open connections to an upstream
	Region      Kind = "region"      // concurrent requests in a region
	Link        Kind = "link"        // bytes per second from one region to another
	Shift       Kind = "shift"       // requests per second that a traffic shift may move
)

// OfWorkspace returns the id of the limit on a workspace's rate and burst.
func OfWorkspace(w ident.Workspace) ident.Limit { return limitID(Workspace, string(w)) }

// OfSlots returns the id of the limit on concurrent requests at an upstream.
func OfSlots(a ident.Address) ident.Limit { return limitID(Slots, string(a)) }

// OfConnections returns the id of the limit on connections to an upstream.
func OfConnections(a ident.Address) ident.Limit { return limitID(Connections, string(a)) }

// OfRegion returns the id of the limit on concurrent requests in a region.
func OfRegion(r ident.Region) ident.Limit { return limitID(Region, string(r)) }

// OfLink returns the id of the limit on traffic from one region to another.
func OfLink(from, to ident.Region) ident.Limit { return limitID(Link, string(from)+">"+string(to)) }

// OfShift returns the id of the limit on requests that a traffic shift moves.
func OfShift(name string) ident.Limit { return limitID(Shift, name) }

func limitID(k Kind, name string) ident.Limit { return ident.Limit(string(k) + "/" + name) }

// Split returns the kind and the name that an id consists of.
func Split(id ident.Limit) (Kind, string) {
	k, name, _ := strings.Cut(string(id), "/")
	return Kind(k), name
}

// IsRate reports whether limits of the kind are a rate with a burst. Other limits are on units in use.
func (k Kind) IsRate() bool { return k == Workspace || k == Link || k == Shift }

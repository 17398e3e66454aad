// Package affinity plans which upstreams serve which objects. By default an object is assigned to its preferred
// upstream, the first in its rendezvous order (package object). The plan overrides this for objects whose preferred
// upstream is asked for more than it can serve, so that few upstreams have to cache each object and the upstreams are
// about equally utilized. It covers two cases: hashing puts many objects on few upstreams, or a single object needs
// more than one upstream. Without a plan, entry VMs that find the preferred upstream saturated each choose another
// one, and a request at an upstream that has not cached its object keeps a slot busy three times as long. The package
// does no I/O and reads no clock: time comes in as an argument.
package affinity

// Package affinity plans which upstreams keep which objects. By default an object belongs to the first upstream of its
// order (package object); the plan names others for objects whose upstream is asked for more than it can do, so that
// each object stays known to few upstreams, and upstreams are about equally full. It answers days on which hashing puts
// many objects on few upstreams, and on which single objects are asked for more than one upstream serves: entry VMs that
// find the first upstream full choose others each by itself, and requests at an upstream that does not know their object
// take three times the slot's time. It is pure: time comes in as an argument.
package affinity

// Package object names what requests concern, and says where each object belongs: in which region, and in which order
// that region's upstreams serve it. All processes agree on both without a word. It is pure.
package object

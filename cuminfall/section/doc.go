// Package section changes one section of the document on the revision that was read.
package section

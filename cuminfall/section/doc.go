// Package section reads and edits single sections of the document. An edit names the revision that it was made on,
// so that it can't overwrite a newer one.
package section

// Package jsonscan reads JSON in the form in which encoding/json writes it, several times faster than that package does. It
// refuses any other form, so that a caller can fall back to encoding/json.
package jsonscan

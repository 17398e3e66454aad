// Package answer is the format in which a stand-in upstream proves whose request it ran.
package answer

// Package exactjson finds what encoding/json reads in one of several possible ways without a word: a member that comes twice
// in an object, a member whose name is that of a field in other letters, and text that is not valid UTF-8.
package exactjson

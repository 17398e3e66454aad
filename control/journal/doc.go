// Package journal keeps the files of one member of the control group: its identity and hard
// state, its log and its snapshot.
package journal

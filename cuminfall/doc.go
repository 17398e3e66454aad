// Cuminfall is the command line with which operators manage a fleet.
package main

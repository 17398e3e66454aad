// Cuminfall is the operators' command line.
package main

// Command rig plays the cases of the review: it starts the project's programs as the platform does, with stand-ins for
// endpoints, clients and the operator, and checks one rule on what these have seen.
package main

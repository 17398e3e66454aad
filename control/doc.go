// Control holds the fleet's durable state, replicated over the control group.
package main

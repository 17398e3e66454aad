// Package deployment describes two example deployments and generates the settings to simulate them under load.
package deployment

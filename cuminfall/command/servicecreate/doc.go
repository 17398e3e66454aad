// Package servicecreate implements the command "service create".
package servicecreate

// Package telemetry provides the logs, metrics and trace spans of a process.
package telemetry

// Package telemetry makes the logs, metrics and spans of a process.
package telemetry

// Package commands implements the operators' command line. Each command has its
// own file and registers itself there. A command that needs the running system
// sends a node.Command over HTTP to any VM, which forwards it to the control
// leader.
package commands

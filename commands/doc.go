// Package commands is the operators' command line. Each command has a file and
// registers itself. Commands that need the system send one node.Command over
// HTTP to any VM, which passes it on to the control leader.
package commands

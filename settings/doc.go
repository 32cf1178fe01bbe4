// Package settings reads the settings of a VM: one base file that every site
// shares and a small overlay that states what differs at one site. All that is
// wrong with them is collected with its place and reported together.
package settings

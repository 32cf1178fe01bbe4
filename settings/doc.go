// Package settings reads the settings of a VM: a base file that all sites
// share, and an overlay with the settings of one site. All errors in the files
// are collected with their line and column and reported together.
package settings

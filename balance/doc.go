// Package balance decides how work is divided between sites: which share of a
// saturated upstream each site may use, and which fraction of a site's reads runs
// in other sites. It is pure: time and random numbers are passed in, and nothing
// depends on the order of a map.
package balance

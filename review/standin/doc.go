// Standin plays one case of the review: it starts the project's programs as
// processes on loopback addresses, together with stand-ins of the users'
// clients, servers, operator and platform, and checks one rule.
package main

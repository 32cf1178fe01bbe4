// Kingcupknotd is the daemon on each VM of the system.
package main

func main() {}

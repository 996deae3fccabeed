// Command pomelomoor runs an entry instance and is the operators' and callers' command line.
package main

func main() {}

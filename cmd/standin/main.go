// Command standin runs small fakes of the platform, workers and upstream runners.
package main

func main() {}

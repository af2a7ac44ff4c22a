// Command papayacove is a part of papayacove.
package main

func main() {}

// Command papayacovectl is a part of papayacove.
package main

func main() {}

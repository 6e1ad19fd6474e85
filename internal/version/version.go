// Package version holds the version of the programs.
package version

// Version is the version of the programs. Release builds set it by the linker.
var Version = "development"

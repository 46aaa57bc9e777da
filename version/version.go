// Package version names the release.
package version

// String is the release, as --version prints it.
const String = "0.1.0"

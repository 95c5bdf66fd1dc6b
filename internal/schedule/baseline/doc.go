// Package baseline holds simple placement policies kept as code, to compare the
// scheduler with in one run: first-come first-fit, random fit, and an offline
// first-fit-decreasing packer that knows every true size.
package baseline

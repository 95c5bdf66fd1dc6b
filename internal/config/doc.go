// Package config reads the settings of a VM from flags and environment
// variables, checks them all at once and prints those in effect.
package config

// Package config defines the settings of a VM, the flags and environment variables
// that set them, and their validation.
package config

// Package defaults sets unset fields of options to their defaults.
package defaults

// Package settings parses the settings file of the daemon. The file is JSON with
// comments. All fields are validated; unknown fields are errors.
package settings

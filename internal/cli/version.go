package cli

import (
	"runtime/debug"
	"strings"
)

// version describes the build: module version, VCS revision and time, and Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	parts := []string{info.Main.Version}
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			parts = append(parts, "revision "+setting.Value)
		case setting.Key == "vcs.time":
			parts = append(parts, setting.Value)
		case setting.Key == "vcs.modified" && setting.Value == "true":
			parts = append(parts, "modified")
		}
	}
	return strings.Join(append(parts, info.GoVersion), ", ")
}

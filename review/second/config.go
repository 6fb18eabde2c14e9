package main

// route is a route of a configuration, as the operator writes it.
type route struct {
	name, prefix, kind string
	service            string
	split              map[string]int
	timeoutS, targetS  float64
	priority, attempts int
}

// healthPaths are the paths for health checks of services that have another than healthPath.
var healthPaths = map[string]string{}

func healthPathOf(service string) string {
	if path, ok := healthPaths[service]; ok {
		return path
	}
	return healthPath
}

// putConfig writes a configuration. Its return is the acknowledgement of the store.
func (r *run) putConfig(version int, services []string, routes []route) {
	var resources []map[string]any
	add := func(kind, name string, spec map[string]any) {
		metadata := map[string]any{}
		if name != "" {
			metadata["name"] = name
		}
		resources = append(resources, map[string]any{"entryKind": kind, "metadata": metadata, "spec": spec})
	}
	for _, x := range routes {
		spec := map[string]any{"host": host, "prefix": x.prefix, "routeKind": x.kind, "timeoutS": x.timeoutS, "targetLatencyS": x.targetS,
			"priority": x.priority, "maxAttempts": x.attempts}
		if x.split == nil {
			spec["service"] = x.service
		} else {
			var parts []map[string]any
			for _, name := range services {
				if weight, ok := x.split[name]; ok {
					parts = append(parts, map[string]any{"service": name, "weight": weight})
				}
			}
			spec["split"] = parts
		}
		add("routes", x.name, spec)
	}
	for _, name := range services {
		add("services", name, map[string]any{"healthPath": healthPathOf(name), "maxConnections": 283, "protocol": "h1", "tls": false})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
	r.store.put("op/config", map[string]any{"version": version, "baseVersion": max(0, version-1), "resources": resources})
	r.rec.line("configuration %d is acknowledged", version)
}

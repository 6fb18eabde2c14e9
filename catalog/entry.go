package catalog

// Entry is what one record of the store contains. At most one of its fields is set;
// none is for records that instances do not use.
type Entry struct {
	Config *Config
	Target *Target
	// EvacuatedDomain is the failure domain whose targets get no new requests as long as
	// the record exists.
	EvacuatedDomain string
}

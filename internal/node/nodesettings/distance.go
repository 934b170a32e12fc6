package nodesettings

// Distances between two machines, by how expensive the way between them is.
const (
	SameZone = iota
	SameRegion
	OtherRegion
)

// Distance returns how far a zone is from another one. A region without a name is no region.
func Distance(zone, region, fromZone, fromRegion string) int {
	switch {
	case zone == fromZone:
		return SameZone
	case region == fromRegion && fromRegion != "":
		return SameRegion
	}
	return OtherRegion
}

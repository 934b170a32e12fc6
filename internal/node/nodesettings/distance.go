package nodesettings

// Distances between two machines, by the cost of the network path between them, cheapest first.
const (
	SameZone = iota
	SameRegion
	OtherRegion
)

// Distance returns the distance between two zones. Zones whose region is empty are not taken to be in
// the same region.
func Distance(zone, region, fromZone, fromRegion string) int {
	switch {
	case zone == fromZone:
		return SameZone
	case region == fromRegion && fromRegion != "":
		return SameRegion
	}
	return OtherRegion
}

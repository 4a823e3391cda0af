package shard

// Skew returns the difference between the greatest and the least share of the capacity
// that is booked, over all shards with capacity. booked returns the millicores that
// count of a load.
func Skew(loads map[int]Load, booked func(load Load) int64) float64 {
	least, greatest, found := 0.0, 0.0, false
	for _, load := range loads {
		if load.Capacity <= 0 {
			continue
		}
		share := float64(booked(load)) / float64(load.Capacity)
		if !found {
			least, greatest, found = share, share, true
		}
		least, greatest = min(least, share), max(greatest, share)
	}
	return greatest - least
}

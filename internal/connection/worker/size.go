package worker

// Plus adds two sizes.
func (s Size) Plus(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores + other.MilliCores,
		MemoryBytes:  s.MemoryBytes + other.MemoryBytes,
		Accelerators: s.Accelerators + other.Accelerators,
	}
}

// Minus takes another size away.
func (s Size) Minus(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores - other.MilliCores,
		MemoryBytes:  s.MemoryBytes - other.MemoryBytes,
		Accelerators: s.Accelerators - other.Accelerators,
	}
}

// Within tells whether the size fits into room.
func (s Size) Within(room Size) bool {
	return s.MilliCores <= room.MilliCores && s.MemoryBytes <= room.MemoryBytes && s.Accelerators <= room.Accelerators
}

package worker

// Add returns the sum of two sizes.
func (s Size) Add(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores + other.MilliCores,
		MemoryBytes:  s.MemoryBytes + other.MemoryBytes,
		Accelerators: s.Accelerators + other.Accelerators,
	}
}

// Sub returns the size less another.
func (s Size) Sub(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores - other.MilliCores,
		MemoryBytes:  s.MemoryBytes - other.MemoryBytes,
		Accelerators: s.Accelerators - other.Accelerators,
	}
}

// FitsIn reports whether the size fits into capacity in every resource.
func (s Size) FitsIn(capacity Size) bool {
	return s.MilliCores <= capacity.MilliCores && s.MemoryBytes <= capacity.MemoryBytes && s.Accelerators <= capacity.Accelerators
}

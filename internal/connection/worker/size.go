package worker

// Plus returns the sum of two sizes.
func (s Size) Plus(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores + other.MilliCores,
		MemoryBytes:  s.MemoryBytes + other.MemoryBytes,
		Accelerators: s.Accelerators + other.Accelerators,
	}
}

// Minus returns the size less another.
func (s Size) Minus(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores - other.MilliCores,
		MemoryBytes:  s.MemoryBytes - other.MemoryBytes,
		Accelerators: s.Accelerators - other.Accelerators,
	}
}

// Within reports whether the size fits into capacity in every resource.
func (s Size) Within(capacity Size) bool {
	return s.MilliCores <= capacity.MilliCores && s.MemoryBytes <= capacity.MemoryBytes && s.Accelerators <= capacity.Accelerators
}

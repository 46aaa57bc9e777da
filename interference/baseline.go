package interference

// Baseline learns the latency of each service when it runs alone, per load band. Slowdowns are
// measured against it. It is not safe for concurrent use.
type Baseline struct {
	alone  map[pair]*mean
	lowest map[pair]float64
}

// NewBaseline returns an empty baseline.
func NewBaseline() *Baseline {
	return &Baseline{alone: make(map[pair]*mean), lowest: make(map[pair]float64)}
}

// lowestGrowth is the factor by which the lowest latency seen rises with each measurement, so
// that one unusually fast measurement does not remain the reference for ever.
const lowestGrowth = 1.002

// Slowdown returns a measured latency, in milliseconds, relative to the service running alone at
// this load, or 0 if there is nothing to compare it with. Until the service has been measured
// alone often enough in this load band, the lowest latency seen is the reference.
func (b *Baseline) Slowdown(service string, load, latency float64, alone bool) float64 {
	key := pair{service: service, band: Band(load)}
	if latency <= 0 {
		return 0
	}
	low, seen := b.lowest[key]
	if !seen || latency < low {
		low = latency
	}
	b.lowest[key] = low * lowestGrowth
	if alone {
		m := b.alone[key]
		if m == nil {
			m = &mean{}
			b.alone[key] = m
		}
		m.add(latency)
	}
	if m := b.alone[key]; m != nil && m.n >= minAloneSamples {
		return latency / m.value
	}
	if !seen {
		return 0
	}
	return latency / low
}

// Alone returns the mean latency of a service running alone, in milliseconds, or 0 if it has not
// been measured alone often enough.
func (b *Baseline) Alone(service string, load float64) float64 {
	if m := b.alone[pair{service: service, band: Band(load)}]; m != nil && m.n >= minAloneSamples {
		return m.value
	}
	return 0
}

// minAloneSamples is the number of measurements alone that make their mean the reference.
const minAloneSamples = 5

package interference

// Baseline learns how slow a service is when it runs alone, per load band.
type Baseline struct {
	alone  map[pair]*mean
	lowest map[pair]float64
}

// NewBaseline returns an empty baseline.
func NewBaseline() *Baseline {
	return &Baseline{alone: make(map[pair]*mean), lowest: make(map[pair]float64)}
}

// lowestRise lets the lowest value seen creep up, so that one lucky
// measurement does not stay the yardstick for ever.
const lowestRise = 1.002

// Slowdown takes one measured latency in milliseconds and returns it relative
// to running alone, or 0 when nothing is known to compare with. Until the
// service was seen alone under such a load, the lowest value stands in.
func (b *Baseline) Slowdown(service string, load, latency float64, alone bool) float64 {
	key := pair{service: service, band: Band(load)}
	if latency <= 0 {
		return 0
	}
	low, seen := b.lowest[key]
	if !seen || latency < low {
		low = latency
	}
	b.lowest[key] = low * lowestRise
	if alone {
		m := b.alone[key]
		if m == nil {
			m = &mean{}
			b.alone[key] = m
		}
		m.add(latency)
	}
	if m := b.alone[key]; m != nil && m.n >= minAlone {
		return latency / m.value
	}
	if !seen {
		return 0
	}
	return latency / low
}

// Alone returns the mean latency of a service running alone, in milliseconds, 0
// if it was not seen alone often enough.
func (b *Baseline) Alone(service string, load float64) float64 {
	if m := b.alone[pair{service: service, band: Band(load)}]; m != nil && m.n >= minAlone {
		return m.value
	}
	return 0
}

// minAlone is how many measurements alone make a yardstick.
const minAlone = 5

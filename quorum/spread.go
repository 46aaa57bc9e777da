package quorum

// Voters are spread over the data centres as evenly as the replicas allow, so that the loss of one
// data centre takes as few voters as possible.

// votersIn counts the voters by data centre. Voters of an unknown data centre are not counted.
func votersIn(c Config) map[string]int {
	out := make(map[string]int)
	for _, v := range c.Voters {
		if v.DataCentre != "" {
			out[v.DataCentre]++
		}
	}
	return out
}

// bestSpare returns the learner that has caught up and is in the data centre with the fewest
// voters.
func bestSpare(st Status) (best Replica, ok bool) {
	voters := votersIn(st.Config)
	for _, l := range st.Config.Learners {
		if st.CaughtUp(l) && (!ok || voters[l.DataCentre] < voters[best.DataCentre]) {
			best, ok = l, true
		}
	}
	return best, ok
}

// voterToDemote returns a voter, other than the leader, of the data centre with the most voters.
func voterToDemote(st Status) (id uint64) {
	voters, most := votersIn(st.Config), -1
	for _, v := range st.Config.Voters {
		if n := voters[v.DataCentre]; v.ID != st.ID && n > most {
			id, most = v.ID, n
		}
	}
	return id
}

// spreadVoters swaps a voter of the data centre with the most voters for a spare in one with at
// least two fewer, provided that the set currently has the required tolerance: at its full size, that
// every voter responds.
func spreadVoters(st Status, tolerance int) (Config, bool) {
	l, ok := bestSpare(st)
	if !ok || l.DataCentre == "" || st.MajorityMargin() < tolerance {
		return Config{}, false
	}
	id := voterToDemote(st)
	from, _ := find(st.Config.Voters, id)
	voters := votersIn(st.Config)
	if voters[from.DataCentre] < voters[l.DataCentre]+2 {
		return Config{}, false
	}
	return st.Config.Swapping(id, l), true
}

package serverlimit

// CoordinatorOf returns the first choice for the coordinator of a server, or nothing if no
// instance is known.
func (l *Limiter) CoordinatorOf(server string) string {
	if ranked := l.coordinators(server, l.Instances()); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

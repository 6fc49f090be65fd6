package anvilspeed

// Factor is the lasting speed of a target relative to an ordinary one: 1 is as fast as an ordinary
// target, 2 is twice as fast. The zero value means unknown and counts as Ordinary.
type Factor float64

// Ordinary is the factor of a target whose speed is unknown or doesn't differ from that of others.
const Ordinary Factor = 1

// OrOrdinary returns the factor, or Ordinary if it is unknown.
func (f Factor) OrOrdinary() Factor {
	if f <= 0 {
		return Ordinary
	}
	return f
}

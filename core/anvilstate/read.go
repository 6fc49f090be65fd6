package anvilstate

// Instances returns all instances in order of their ids.
func (m *Machine) Instances() []Instance {
	instances := make([]Instance, 0, len(m.instances))
	for _, id := range sortedKeys(m.instances) {
		instances = append(instances, *m.instances[id])
	}
	return instances
}

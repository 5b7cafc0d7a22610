package route

import "chicoryhoist.example/hoist/value"

// Spec returns what the configuration says about the servers of the service, or the zero value.
func (t *Table) Spec(service string) value.ServiceSpec {
	for s := range t.source.Services().All() {
		if s.Name() == service {
			return s
		}
	}
	return value.ServiceSpec{}
}

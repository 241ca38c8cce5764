package delivery

// configOutline is what a source keeps of a past configuration: enough to send the changes since
// then to a subscriber that has it. It is immutable.
type configOutline struct {
	full *view
	// index is nil if no subscriber with interests has got the configuration.
	index *routeIndex
}

// closureOf returns the view of a proxy with the interests; empty means all. It reports false if
// the closure is not known any more.
func (o *configOutline) closureOf(interests []string) (*closureView, bool) {
	if len(interests) == 0 {
		return &closureView{view: o.full}, true
	}
	if o.index == nil {
		return nil, false
	}
	services := o.index.closure(interests)
	return &closureView{services: services, view: o.full.filter(services).outlined()}, true
}

// bytesBeside implements sized.
func (o *configOutline) bytesBeside(next *configOutline) int {
	if next == nil {
		return o.full.bytesBeside(nil) + o.index.bytes()
	}
	bytes := o.full.bytesBeside(next.full)
	if o.index != next.index {
		bytes += o.index.bytes()
	}
	return bytes
}

// shareWith replaces the index by that of the previous outline, which may be nil, if they are
// equal.
func (o *configOutline) shareWith(previous *configOutline) {
	if previous != nil && o.index.equal(previous.index) {
		o.index = previous.index
	}
}

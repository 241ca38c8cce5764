package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var elementsSkipped = metrics.NewCounter("hornbeamwell_wire_list_elements_skipped_total")

// List is a list whose elements are independent of each other. An element that can't
// be decoded, or is null, is left out and counted, and the others hold.
type List[T any] []T

// UnmarshalJSON implements json.Unmarshaler.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	var raws []json.RawMessage
	if err := json.Unmarshal(data, &raws); err != nil {
		return fmt.Errorf("decode list: %w", err)
	}
	if raws == nil {
		*l = nil
		return nil
	}
	list := make(List[T], 0, len(raws))
	for _, raw := range raws {
		var element T
		if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, &element) != nil {
			elementsSkipped.Inc()
			continue
		}
		list = append(list, element)
	}
	*l = list
	return nil
}

package wire

// MethodOperatorForward forwards an operator's call from a control instance to
// the leader.
const MethodOperatorForward = "operator.forward"

// ForwardRequest is a forwarded operator call.
type ForwardRequest struct {
	// Procedure is the path of the procedure in the schema.
	Procedure string `json:"procedure"`
	// Body is the encoded protobuf request.
	Body []byte `json:"body"`
}

// ForwardResponse is the leader's reply. Code is 0 on success.
type ForwardResponse struct {
	Body    []byte          `json:"body,omitempty"`
	Code    uint32          `json:"code,omitempty"`
	Message string          `json:"message,omitempty"`
	Details []ForwardDetail `json:"details,omitempty"`
}

// RetainedBytes returns the memory that the reply takes until it is sent: its body, the encoded
// one, and the message and the frame with it.
func (r ForwardResponse) RetainedBytes() int64 { return 5 * int64(len(r.Body)) }

// ForwardDetail is an encoded error detail.
type ForwardDetail struct {
	Type string `json:"type"`
	Body []byte `json:"body"`
}

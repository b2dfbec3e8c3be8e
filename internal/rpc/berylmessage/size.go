package berylmessage

import (
	"bytes"
	"mime"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// messageBytes is the memory of a decoded message without its texts, elementBytes that of an element of a list that is no message.
	messageBytes = 256
	elementBytes = 32
	// valueBytes is the memory of a value of JSON while it is decoded.
	valueBytes = 64
	// maxDepth bounds the messages within one another that are looked at; those of this project are at most 4 deep.
	maxDepth = 10
)

// RequestBytes returns how many bytes the message in the body of a twirp request takes at most once it is decoded, beside copies of
// the body.
func RequestBytes(r *http.Request, body []byte) int64 {
	contentType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || contentType != "application/protobuf" {
		return jsonBytes(body)
	}
	if input := inputOf(r.URL.Path); input != nil {
		return protobufBytes(input, body, maxDepth)
	}
	return 0
}

// inputOf returns the request message of the method that a path of twirp names, or nil.
func inputOf(path string) protoreflect.MessageDescriptor {
	parts := strings.Split(path, "/")
	if len(parts) < 2 {
		return nil
	}
	d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(parts[len(parts)-2]))
	if err != nil {
		return nil
	}
	service, ok := d.(protoreflect.ServiceDescriptor)
	if !ok {
		return nil
	}
	if m := service.Methods().ByName(protoreflect.Name(parts[len(parts)-1])); m != nil {
		return m.Input()
	}
	return nil
}

// protobufBytes adds up the messages and list elements in an encoded message. It ends where the message is malformed, as decoding does.
func protobufBytes(m protoreflect.MessageDescriptor, b []byte, depth int) int64 {
	total := int64(messageBytes)
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return total
		}
		b = b[n:]
		if n = protowire.ConsumeFieldValue(number, wireType, b); n < 0 {
			return total
		}
		field := m.Fields().ByNumber(number)
		switch {
		case field == nil:
			// An unknown field is kept as it is.
		case field.Message() != nil && wireType == protowire.BytesType && depth > 0:
			value, _ := protowire.ConsumeBytes(b)
			total += protobufBytes(field.Message(), value, depth-1)
		case field.IsList() && wireType == protowire.BytesType && field.Kind() != protoreflect.StringKind && field.Kind() != protoreflect.BytesKind:
			// Numbers in one field have at least a byte each.
			total += int64(n) * elementBytes
		case field.IsList():
			total += elementBytes
		}
		b = b[n:]
	}
	return total
}

// jsonBytes counts what can begin a message or another value of JSON.
func jsonBytes(b []byte) int64 {
	messages := bytes.Count(b, []byte("{"))
	values := bytes.Count(b, []byte(",")) + bytes.Count(b, []byte("[")) + 1
	return int64(messages)*messageBytes + int64(values)*valueBytes
}

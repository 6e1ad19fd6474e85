package link

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	linkpb "heathershed/api/link"
)

// TestFrameIsSentWithAllItsFields guards against a field that is never sent.
func TestFrameIsSentWithAllItsFields(t *testing.T) {
	setBySession := map[protoreflect.Name]bool{"sequence": true, "echo": true}
	fields := (&linkpb.ControlFrame{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if setBySession[field.Name()] {
			continue
		}
		f := &linkpb.ControlFrame{}
		m := f.ProtoReflect()
		switch {
		case field.IsList():
			list := m.Mutable(field).List()
			if field.Message() != nil {
				list.AppendMutable()
			} else {
				list.Append(protoreflect.ValueOfString("x"))
			}
		case field.Message() != nil:
			m.Mutable(field)
		default:
			m.Set(field, nonZero(t, field))
		}
		if !copyFrame(f).ProtoReflect().Has(field) {
			t.Errorf("field %s of a frame is not sent", field.Name())
		}
	}
}

func nonZero(t *testing.T, field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString("x")
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(1)
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(1)
	}
	t.Fatalf("field %s: no value of kind %v", field.Name(), field.Kind())
	return protoreflect.Value{}
}

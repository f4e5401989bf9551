package compat

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// The generated servers name the HTTP paths that they answer.
var (
	_ = replicationpb.ReplicationPathPrefix
	_ = distributionpb.DistributionPathPrefix
	_ = quotapb.AllocationPathPrefix
)

// protoPackages are the packages on the wire. Their names are parts of the HTTP paths.
var protoPackages = []protoreflect.FullName{"gradeusher.distribution", "replication", "gradeusher.quota"}

// messages are those of a package, in the order of its file. A message is known by its place there, since its name is not sent.
func messages(t *testing.T, pkg protoreflect.FullName) protoreflect.MessageDescriptors {
	t.Helper()
	var all protoreflect.MessageDescriptors
	protoregistry.GlobalFiles.RangeFilesByPackage(pkg, func(f protoreflect.FileDescriptor) bool {
		all = f.Messages()
		return true
	})
	if all == nil {
		t.Fatalf("package %s has no file", pkg)
	}
	return all
}

func byNumber(m protoreflect.MessageDescriptor) []protoreflect.FieldDescriptor {
	var all []protoreflect.FieldDescriptor
	for i := range m.Fields().Len() {
		all = append(all, m.Fields().Get(i))
	}
	slices.SortFunc(all, func(a, b protoreflect.FieldDescriptor) int { return int(a.Number() - b.Number()) })
	return all
}

// form is all that decides how a field is encoded.
func form(field protoreflect.FieldDescriptor) string {
	text := fmt.Sprintf("%d %s %s", field.Number(), field.Cardinality(), field.Kind())
	if field.Message() != nil {
		text += fmt.Sprintf(" %s/%d", field.Message().ParentFile().Package(), field.Message().Index())
	}
	if o := field.ContainingOneof(); o != nil && !o.IsSynthetic() {
		text += fmt.Sprintf(" oneof %d", o.Index())
	}
	if field.HasOptionalKeyword() {
		text += " optional"
	}
	if field.IsPacked() {
		text += " packed"
	}
	return text
}

func TestProtoFields(t *testing.T) {
	var out bytes.Buffer
	for _, pkg := range protoPackages {
		all := messages(t, pkg)
		for i := range all.Len() {
			fmt.Fprintf(&out, "%s/%d\n", pkg, i)
			for _, f := range byNumber(all.Get(i)) {
				fmt.Fprintf(&out, "\t%s\n", form(f))
			}
		}
	}
	golden(t, "proto_fields.txt", out.Bytes())
}

// scalar is a value made of a field's number, and of a second number that tells elements of a list apart.
func scalar(field protoreflect.FieldDescriptor, k int) protoreflect.Value {
	number := int64(field.Number())*1000 + int64(k)
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("s%d", number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "\x00b%d\xff", number))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(-number)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number) << 33)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) + 0.5)
	}
	panic("no example for " + field.Kind().String())
}

// fill sets all fields down to a depth; of a oneof only the one whose number is chosen.
func fill(m protoreflect.Message, chosen protoreflect.FieldNumber, depth int) {
	for _, f := range byNumber(m.Descriptor()) {
		if o := f.ContainingOneof(); o != nil && !o.IsSynthetic() && f.Number() != chosen {
			continue
		}
		switch {
		case f.IsList():
			fillList(m.Mutable(f).List(), f, depth)
		case f.Message() == nil:
			m.Set(f, scalar(f, 0))
		case depth > 0:
			fill(m.Mutable(f).Message(), 0, depth-1)
		}
	}
}

func fillList(l protoreflect.List, f protoreflect.FieldDescriptor, depth int) {
	for k := range 2 {
		if f.Message() == nil {
			l.Append(scalar(f, k))
		} else if depth > 0 {
			fill(l.AppendMutable().Message(), 0, depth-1)
		}
	}
}

// choices are the numbers of the fields in oneofs, or one that chooses none.
func choices(m protoreflect.MessageDescriptor) []protoreflect.FieldNumber {
	var all []protoreflect.FieldNumber
	for _, f := range byNumber(m) {
		if o := f.ContainingOneof(); o != nil && !o.IsSynthetic() {
			all = append(all, f.Number())
		}
	}
	if all == nil {
		all = append(all, 0)
	}
	return all
}

func example(t *testing.T, m protoreflect.MessageDescriptor, chosen protoreflect.FieldNumber) proto.Message {
	t.Helper()
	kind, err := protoregistry.GlobalTypes.FindMessageByName(m.FullName())
	if err != nil {
		t.Fatal(err)
	}
	msg := kind.New()
	fill(msg, chosen, 4)
	return msg.Interface()
}

func TestProtoBytes(t *testing.T) {
	var out bytes.Buffer
	for _, pkg := range protoPackages {
		all := messages(t, pkg)
		for i := range all.Len() {
			for _, chosen := range choices(all.Get(i)) {
				text, err := proto.MarshalOptions{Deterministic: true}.Marshal(example(t, all.Get(i), chosen))
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&out, "%s/%d/%d %s\n", pkg, i, chosen, hex.EncodeToString(text))
			}
		}
	}
	golden(t, "proto_bytes.txt", out.Bytes())
}

// TestProtoDecodes reads each example again with the types of now, and finds all of it in known fields.
func TestProtoDecodes(t *testing.T) {
	for _, pkg := range protoPackages {
		all := messages(t, pkg)
		for i := range all.Len() {
			for _, chosen := range choices(all.Get(i)) {
				sent := example(t, all.Get(i), chosen)
				text, err := proto.Marshal(sent)
				if err != nil {
					t.Fatal(err)
				}
				got := sent.ProtoReflect().New().Interface()
				if err := proto.Unmarshal(text, got); err != nil || !proto.Equal(got, sent) || len(got.ProtoReflect().GetUnknown()) > 0 {
					t.Errorf("%s/%d/%d: %v %v", pkg, i, chosen, got, err)
				}
			}
		}
	}
}

func TestRPCPaths(t *testing.T) {
	var got []string
	for _, pkg := range protoPackages {
		protoregistry.GlobalFiles.RangeFilesByPackage(pkg, func(f protoreflect.FileDescriptor) bool {
			for i := range f.Services().Len() {
				s := f.Services().Get(i)
				for k := range s.Methods().Len() {
					m := s.Methods().Get(k)
					got = append(got, fmt.Sprintf("/twirp/%s/%s %d %d", s.FullName(), m.Name(), m.Input().Index(), m.Output().Index()))
				}
			}
			return true
		})
	}
	want := []string{
		"/twirp/gradeusher.distribution.Distribution/Follow 8 9",
		"/twirp/gradeusher.distribution.Distribution/Share 10 11",
		"/twirp/gradeusher.distribution.Neighbours/Neighbour 12 9",
		"/twirp/replication.Replication/Deliver 1 0",
		"/twirp/gradeusher.quota.Allocation/Lease 2 4",
		"/twirp/gradeusher.quota.Limiting/Take 5 6",
	}
	if !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
}

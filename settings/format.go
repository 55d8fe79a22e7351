package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

// FormatCatalogue writes a catalogue as ParseCatalogue reads it. Unset fields
// are left out; truth values are always written.
func FormatCatalogue(file *pb.CatalogueFile) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(mapOf(file.ProtoReflect()), yaml.IndentSequence(true))
	if err != nil {
		return nil, errors.Wrap(err, "settings: the catalogue cannot be written as YAML; report this to the developers")
	}
	return data, nil
}

// mapOf returns the set fields in the order of the schema.
func mapOf(message protoreflect.Message) yaml.MapSlice {
	var pairs yaml.MapSlice
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !message.Has(field) && field.Kind() != protoreflect.BoolKind {
			continue
		}
		pairs = append(pairs, yaml.MapItem{Key: string(field.Name()), Value: plainValue(message.Get(field), field)})
	}
	return pairs
}

func plainValue(value protoreflect.Value, field protoreflect.FieldDescriptor) any {
	if !field.IsList() {
		return plainItem(value, field)
	}
	list := value.List()
	items := make([]any, list.Len())
	for i := range items {
		items[i] = plainItem(list.Get(i), field)
	}
	return items
}

func plainItem(value protoreflect.Value, field protoreflect.FieldDescriptor) any {
	switch {
	case field.Kind() == protoreflect.MessageKind && field.Message().FullName() == durationName:
		return value.Message().Interface().(*durationpb.Duration).AsDuration().String()
	case field.Kind() == protoreflect.MessageKind:
		return mapOf(value.Message())
	case field.Kind() == protoreflect.EnumKind:
		return enumText(field.Enum(), value.Enum())
	case strings.HasSuffix(string(field.Name()), sizeSuffix):
		return sizeText(value.Uint())
	default:
		return value.Interface()
	}
}

func enumText(enum protoreflect.EnumDescriptor, number protoreflect.EnumNumber) string {
	value := enum.Values().ByNumber(number)
	if value == nil {
		return fmt.Sprint(number)
	}
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), enumPrefix(enum)))
}

// sizeText uses the largest binary unit that divides the size.
func sizeText(bytes uint64) any {
	for _, unit := range []struct {
		name  string
		bytes uint64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/unit.bytes, unit.name)
		}
	}
	return bytes
}

// FieldText is one set field of a message as text.
type FieldText struct {
	// Path is the path of the field. Items of a list of messages that have a
	// name are given by it, for example "operations[book].deadline".
	Path string
	Text string
}

// Flatten returns the set fields of a message as text, in the order of the
// schema, for example to compare two entries.
func Flatten(message proto.Message) []FieldText {
	return flatten(nil, "", mapOf(message.ProtoReflect()))
}

func flatten(texts []FieldText, path string, pairs yaml.MapSlice) []FieldText {
	for _, pair := range pairs {
		texts = flattenValue(texts, join(path, pair.Key.(string)), pair.Value)
	}
	return texts
}

func flattenValue(texts []FieldText, path string, value any) []FieldText {
	switch v := value.(type) {
	case yaml.MapSlice:
		return flatten(texts, path, v)
	case []any:
		return flattenList(texts, path, v)
	default:
		return append(texts, FieldText{Path: path, Text: fmt.Sprint(v)})
	}
}

func flattenList(texts []FieldText, path string, items []any) []FieldText {
	var scalars []string
	for i, item := range items {
		pairs, ok := item.(yaml.MapSlice)
		if !ok {
			scalars = append(scalars, fmt.Sprint(item))
			continue
		}
		texts = flatten(texts, fmt.Sprintf("%s[%s]", path, itemName(pairs, i)), pairs)
	}
	if len(scalars) > 0 {
		texts = append(texts, FieldText{Path: path, Text: strings.Join(scalars, ", ")})
	}
	return texts
}

func itemName(pairs yaml.MapSlice, index int) string {
	for _, pair := range pairs {
		if pair.Key == "name" {
			return fmt.Sprint(pair.Value)
		}
	}
	return fmt.Sprint(index)
}
